package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
)

func TestServiceResponseCutOffOnItsWayIsNotTakenAsWhole(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("paid ", 10_000)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	defer service.Close()
	host := newTestHost(t, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(service.URL, nil)}})
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", strings.TrimPrefix(host.url, "http://"))
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "GET /status/1 %s\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer %s\r\n\r\n", protocol, testKey)
		is.NoErr(err)
		wire, err := io.ReadAll(conn)
		is.NoErr(err)
		is.NoErr(conn.Close())
		for _, n := range []int{len(wire) / 2, len(wire) - 1, len(wire)} {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(wire[:n]))), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.Equal(err == nil, n == len(wire))
			is.True(err != nil || string(body) == text)
			is.NoErr(response.Body.Close())
		}
	}
}
