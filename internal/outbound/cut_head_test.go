package outbound

import (
	"bufio"
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against responses that end inside their head, or right behind it, and are taken for
// whole: each cut, by a close and by a reset, on first and on kept connections.
func TestCutHeadIsNoResponse(t *testing.T) {
	const id = "Id: 7\r\n"
	for name, heads := range map[string]struct{ before, head string }{
		"length":              {"", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 824\r\n\r\n"},
		"chunked":             {"", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n"},
		"connection":          {"", "HTTP/1.1 200 OK\r\n" + id + "Content-Type: text/event-stream\r\n\r\n"},
		"connection, 1.0":     {"", "HTTP/1.0 200 OK\r\n" + id + "\r\n"},
		"bare line feeds":     {"", "HTTP/1.1 200 OK\nId: 7\nContent-Length: 5\n\n"},
		"after informational": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 82\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := heads.before + heads.head
			for _, kept := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					for cut := range len(text) + 1 {
						pool := NewPool()
						e := startEndpoint(t, cutAfter(text[:cut], kept, reset))
						if kept {
							first, err := pool.Send(context.Background(), e.address, newRequest("1"))
							is.NoErr(err)
							_, err = readBody(t, first)
							is.NoErr(err)
						}
						response, err := pool.Send(context.Background(), e.address, newRequest("7"))
						if err != nil {
							continue
						}
						body, err := readBody(t, response)
						if err == nil {
							t.Fatalf("cut at %d of %q, kept %v, reset %v: status %d, body %q", cut, text, kept, reset, response.Status, body)
						}
					}
				}
			}
		})
	}
}

// cutAfter returns the script of an endpoint that ends its connection behind the text. On a
// kept connection it has answered a request before.
func cutAfter(text string, kept, reset bool) func(e *fakeEndpoint, n int64, c net.Conn, r *bufio.Reader) {
	return func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		if kept {
			if _, ok := e.readRequest(r); !ok {
				return
			}
			writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		}
		if _, ok := e.readRequest(r); !ok {
			return
		}
		writeText(c, text)
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}
