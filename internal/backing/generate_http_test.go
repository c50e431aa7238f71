package backing_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestGenerateRejectsIncompleteStreams(t *testing.T) {
	token := func(i string) string { return `{"token":{"Index":` + i + `,"Text":"a"}}` + "\n" }
	const finish = `{"finish":{"Reason":"stop","OutputTokens":2}}` + "\n"
	cases := []struct {
		name, stream string
		want         error
		tokens       int
	}{
		{"whole", token("0") + "{}\n" + token("1") + finish, nil, 2},
		{"no finish", token("0"), backing.ErrUnknown, 1},
		{"truncated line", token("0") + `{"finish":{"Rea`, backing.ErrUnknown, 1},
		{"skipped token", token("0") + token("2") + finish, backing.ErrUnknown, 1},
		{"repeated token", token("0") + token("0") + finish, backing.ErrUnknown, 1},
		{"error before first token", `{"error":{"error":"unavailable"}}` + "\n", backing.ErrUnavailable, 0},
		{"error after first token", token("0") + `{"error":{"error":"unavailable"}}` + "\n", backing.ErrUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(c.stream))
			}))
			defer server.Close()
			emitted := 0
			engine := backing.NewHTTPEngine(server.URL, nil)
			_, err := engine.Generate(t.Context(), backing.Generation{}, func(backing.Token) error {
				emitted++
				return nil
			})
			is.Equal(emitted, c.tokens)
			is.True(errors.Is(err, c.want))
		})
	}
}

func TestGenerateTimesOutOnIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clientConn, serverConn := net.Pipe()
		defer serverConn.Close()
		go func() {
			buffer := make([]byte, 4096)
			_, _ = serverConn.Read(buffer)
			header := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			line := `{"token":{"Index":0,"Text":"a"}}` + "\n"
			_, _ = serverConn.Write([]byte(header + "21\r\n" + line + "\r\n"))
		}()
		dial := func(context.Context, string, string) (net.Conn, error) { return clientConn, nil }
		client := &http.Client{Transport: &http.Transport{DialContext: dial}}
		engine := backing.NewHTTPEngine("http://10.0.0.1", client)
		var text strings.Builder
		_, err := engine.Generate(t.Context(), backing.Generation{}, func(token backing.Token) error {
			text.WriteString(token.Text)
			return nil
		})
		is.True(errors.Is(err, backing.ErrUnknown))
		is.Equal(text.String(), "a")
	})
}
