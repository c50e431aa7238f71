package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/verdict"
)

// TestCallerThatNeverEndsItsBodyIsRefused sends a part of a body and then
// closes its side, or says nothing more.
func TestCallerThatNeverEndsItsBodyIsRefused(t *testing.T) {
	one := newEngine(time.Millisecond)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: one}})
	for _, closes := range []bool{true, false} {
		t.Run(fmt.Sprint("half-closed ", closes), func(t *testing.T) {
			is := is.New(t)
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(s.url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{\"model\":", testKey)
			is.NoErr(err)
			if closes {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
			is.Equal(response.Header.Get(verdict.Header), "not-run")
		})
	}
	is := is.New(t)
	is.Equal(len(one.Record().Generations), 0)
}
