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

// TestServerRefusesIncompleteBody checks that a caller that sends part of a body and
// then half-closes the connection, or sends nothing more, is refused as not-run
// after the body timeout at the latest.
func TestServerRefusesIncompleteBody(t *testing.T) {
	backend := newEngine(time.Millisecond)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: backend}})
	for _, halfClose := range []bool{true, false} {
		t.Run(fmt.Sprint("half-closed ", halfClose), func(t *testing.T) {
			is := is.New(t)
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(host.url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{\"model\":", testKey)
			is.NoErr(err)
			if halfClose {
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
	is.Equal(len(backend.Record().Generations), 0)
}
