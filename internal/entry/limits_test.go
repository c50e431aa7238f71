package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/verdict"
)

// TestLimitConnectionsRefusesExcessConnections checks that a connection beyond the
// limit receives one not-run response and is closed, and that new connections are
// served again once a served one is closed.
func TestLimitConnectionsRefusesExcessConnections(t *testing.T) {
	is := is.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: entry.New(entry.Options{}), ConnContext: entry.ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(entry.LimitConnections(listener, 1)) }()
	t.Cleanup(func() { _ = server.Close() })

	first := dialAndSendRequest(t, listener.Addr().String())
	served, _ := readStatus(t, first)
	is.Equal(served, http.StatusNotFound)
	second := dialAndSendRequest(t, listener.Addr().String())
	refused, header := readStatus(t, second)
	is.Equal(refused, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(header.Get("Retry-After"), "1")
	_, err = io.ReadAll(second)
	is.NoErr(err) // the server closed the connection

	is.NoErr(first.Close())
	for {
		conn := dialAndSendRequest(t, listener.Addr().String())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusNotFound {
			return
		}
	}
}

func dialAndSendRequest(t *testing.T, address string) net.Conn {
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = conn.Write([]byte("GET /v1/nothing HTTP/1.1\r\nHost: test\r\n\r\n"))
	return conn
}

func readStatus(t *testing.T, conn net.Conn) (status int, header http.Header) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// TestServerLimitsTotalBufferedBodyBytes checks that a request is refused while the
// bodies in progress and its own exceed the limit together, and served after the
// first request has finished.
func TestServerLimitsTotalBufferedBodyBytes(t *testing.T) {
	is := is.New(t)
	backend := newEngine(time.Millisecond)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: backend}}, func(o *entry.Options) { o.Limits.BufferedBytes = 3000 })
	longBody := chatBody(strings.Repeat("a", 2000), 2000, true)
	first := make(chan callerResponse, 1)
	go func() { first <- host.post(t, "/v1/chat/completions", testKey, longBody) }()
	host.waitFor(t, "first request has delivered a token", func() bool { return host.server.Stats().Tokens.Load() > 0 })
	refused := host.post(t, "/v1/chat/completions", testKey, longBody)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.header.Get(verdict.Header), "not-run")
	is.Equal(refused.header.Get("Retry-After"), "1")
	is.Equal((<-first).status, http.StatusOK)
	is.Equal(host.post(t, "/v1/chat/completions", testKey, chatBody(strings.Repeat("a", 2000), 1, true)).status, http.StatusOK)
}
