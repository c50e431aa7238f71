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

// TestConnectionsAreBounded opens more connections than the bound, sees a
// refusal and then none at all, and a place free again once one is closed.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: entry.New(entry.Options{}), ConnContext: entry.ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(entry.LimitConnections(inner, 1)) }()
	t.Cleanup(func() { _ = server.Close() })

	first := dialAndAsk(t, inner.Addr().String())
	served, _ := answerOn(t, first)
	is.Equal(served, http.StatusNotFound)
	second := dialAndAsk(t, inner.Addr().String())
	refused, header := answerOn(t, second)
	is.Equal(refused, http.StatusServiceUnavailable)
	is.Equal(header.Get(verdict.Header), "not-run")
	is.Equal(header.Get("Retry-After"), "1")
	_, err = io.ReadAll(second)
	is.NoErr(err) // the host closed it

	is.NoErr(first.Close())
	for {
		conn := dialAndAsk(t, inner.Addr().String())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && answer.Body.Close() == nil && answer.StatusCode == http.StatusNotFound {
			return
		}
	}
}

func dialAndAsk(t *testing.T, address string) net.Conn {
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = conn.Write([]byte("GET /v1/nothing HTTP/1.1\r\nHost: test\r\n\r\n"))
	return conn
}

func answerOn(t *testing.T, conn net.Conn) (status int, header http.Header) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// TestBodiesTogetherAreBounded holds one request at its endpoint and sends a
// second whose body passes the bound with the first one's; after the first it
// is served.
func TestBodiesTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	one := newEngine(time.Millisecond)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: one}}, func(o *entry.Options) { o.Limits.BufferedBytes = 3000 })
	long := chatBody(strings.Repeat("a", 2000), 2000, true)
	first := make(chan answer, 1)
	go func() { first <- s.post(t, "/v1/chat/completions", testKey, long) }()
	s.await(t, "a token of the first", func() bool { return s.server.Stats().Tokens.Load() > 0 })
	refused := s.post(t, "/v1/chat/completions", testKey, long)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.header.Get(verdict.Header), "not-run")
	is.Equal(refused.header.Get("Retry-After"), "1")
	is.Equal((<-first).status, http.StatusOK)
	is.Equal(s.post(t, "/v1/chat/completions", testKey, chatBody(strings.Repeat("a", 2000), 1, true)).status, http.StatusOK)
}
