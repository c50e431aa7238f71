package backing_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// framings are the headers of a response and its framed body.
var framings = map[string]func(body string) (header, wire string){
	"length": func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body },
	"chunked": func(body string) (string, string) {
		half := len(body) / 2
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	},
	"connection": func(body string) (string, string) { return "Connection: close\r\n", body },
}

func responseHead(header string) string { return "HTTP/1.1 200 OK\r\n" + header + "\r\n" }

// serveCut answers one request on each connection with the first bytes of a response,
// and ends the connection as end says. It returns the base URL.
func serveCut(t *testing.T, config *tls.Config, text string, end func(net.Conn)) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			conn := raw
			if config != nil {
				conn = tls.Server(raw, config)
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			end(conn)
		}
	}()
	return scheme + l.Addr().String()
}

func closeConn(c net.Conn) { c.Close() }

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// readers are the readers of another process's answer. Each returns what it takes for
// a whole answer to have said.
var readers = map[string]struct {
	body string
	read func(ctx context.Context, base string) (string, error)
	// closed reports that a connection that closes early looks like a whole answer.
	closed bool
}{
	"service": {body: `{"paid": "žluť"}`, closed: true, read: func(ctx context.Context, base string) (string, error) {
		r, err := backing.NewHTTPService(base, nil).Call(ctx, paymentRequest("1"))
		return string(r.Body), err
	}},
	"load report": {body: `{"Queued": 1, "Running": 2}`, read: func(ctx context.Context, base string) (string, error) {
		_, err := backing.NewHTTPEngine(base, nil).Load(ctx)
		return `{"Queued": 1, "Running": 2}`, err
	}},
	"generation": {body: "{\"token\":{\"Index\":0,\"Text\":\"a\"}}\n{\"finish\":{\"Reason\":\"stop\",\"OutputTokens\":1}}", read: func(ctx context.Context, base string) (string, error) {
		text := ""
		finish, err := backing.NewHTTPEngine(base, nil).Generate(ctx, backing.Generation{}, func(token backing.Token) error {
			text += token.Text
			return nil
		})
		if err == nil && (text != "a" || finish.OutputTokens != 1) {
			return text, nil
		}
		return "{\"token\":{\"Index\":0,\"Text\":\"a\"}}\n{\"finish\":{\"Reason\":\"stop\",\"OutputTokens\":1}}", err
	}},
	"KV cache": {body: "0123456789", read: func(ctx context.Context, base string) (string, error) {
		cache, err := backing.NewHTTPEngine(base, nil).ExportKV(ctx, "1")
		return string(cache.Value), err
	}},
}

func TestBrokenOffAnswerIsNotTakenAsWhole(t *testing.T) {
	for name, reader := range readers {
		for framing, frame := range framings {
			t.Run(name+" "+framing, func(t *testing.T) {
				header, wire := frame(reader.body)
				for n := range len(wire) + 1 {
					for _, end := range []func(net.Conn){closeConn, resetConn} {
						text, err := reader.read(t.Context(), serveCut(t, nil, responseHead(header)+wire[:n], end))
						closed := reader.closed && framing == "connection" && n > 0
						if err == nil && text != reader.body && !closed {
							t.Errorf("%q is taken as whole after %d bytes", text, n)
						}
					}
				}
			})
		}
	}
}

// Guards against answers that end inside their head and are taken for whole ones.
func TestCutHeadIsNotTakenAsAnswer(t *testing.T) {
	for name, reader := range readers {
		for framing, frame := range framings {
			t.Run(name+" "+framing, func(t *testing.T) {
				header, _ := frame(reader.body)
				head := responseHead(header)
				for n := range len(head) + 1 {
					for _, end := range []func(net.Conn){closeConn, resetConn} {
						if text, err := reader.read(t.Context(), serveCut(t, nil, head[:n], end)); err == nil {
							t.Errorf("%q is taken as whole after %d bytes of the head", text, n)
						}
					}
				}
			})
		}
	}
}

func TestEncryptedAnswerWithoutCloseNotifyIsNotTakenAsWhole(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	transport := backing.NewTransport()
	transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
	call := func(end func(net.Conn)) error {
		base := serveCut(t, server.TLS, responseHead("Connection: close\r\n")+"half an answer", end)
		_, err := backing.NewHTTPService(base, &http.Client{Transport: transport}).Call(t.Context(), paymentRequest("1"))
		return err
	}
	is.NoErr(call(closeConn))
	is.True(call(func(c net.Conn) { c.(*tls.Conn).NetConn().Close() }) != nil)
}

// Guards against parts of answers that are taken for whole ones when their service is killed.
func TestAnswerCutByEndOfItsServiceIsNotTakenAsWhole(t *testing.T) {
	for _, ended := range []bool{true, false} {
		is := is.New(t)
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if ended {
				l.Close()
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, responseHead("Connection: close\r\n")+"half an answer")
			}
		}()
		_, err = backing.NewHTTPService("http://"+l.Addr().String(), nil).Call(t.Context(), paymentRequest("1"))
		is.Equal(err != nil, ended)
		is.Equal(errors.Is(err, backing.ErrUnknown), ended)
	}
}
