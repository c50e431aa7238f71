package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeEndpoint is an endpoint that runs a script on each connection.
type fakeEndpoint struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// startEndpoint starts an endpoint. script runs for each connection with its
// number, from 1, and reads the requests itself.
func startEndpoint(t *testing.T, script func(e *fakeEndpoint, n int64, c net.Conn, r *bufio.Reader)) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &fakeEndpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := e.connections.Add(1)
			go func() {
				defer c.Close()
				script(e, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return e
}

// readRequest reads and counts one request.
func (e *fakeEndpoint) readRequest(r *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, false
	}
	e.requests.Add(1)
	return req, true
}

func writeText(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(5 * time.Second),
		Accepts: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func readBody(t *testing.T, r *Response) (string, error) {
	t.Helper()
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			req, ok := e.readRequest(r)
			if !ok {
				return
			}
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		resp, err := pool.Send(context.Background(), e.address, newRequest(id))
		is.NoErr(err)
		text, err := readBody(t, resp)
		is.NoErr(err)
		is.Equal(text, "ok")
	}
	is.Equal(e.connections.Load(), int64(1))
	is.Equal(pool.Dials(), int64(1))
}

// net/http's client retries a GET if a reused connection closes without a
// response. Send does not, because each Send must transmit exactly one request.
func TestRequestIsNotRetriedOnReusedConnection(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		if req, ok := e.readRequest(r); ok {
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		}
		e.readRequest(r) // returning closes the connection without a response
	})
	pool := NewPool()
	resp, err := pool.Send(context.Background(), e.address, newRequest("1"))
	is.NoErr(err)
	_, err = readBody(t, resp)
	is.NoErr(err)
	_, err = pool.Send(context.Background(), e.address, newRequest("2"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	is.True(f.Reused)
	is.Equal(e.requests.Load(), int64(2))
}

func TestDialFailureSendsNothing(t *testing.T) {
	is := is.New(t)
	_, err := NewPool().Send(context.Background(), "127.0.0.1:1", newRequest("1"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
	is.True(errors.Is(err, ErrDial))
}

// An additional response to an earlier request is skipped, and the request's
// own response after it is returned.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		e.readRequest(r)
		writeText(c, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold")
		writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew")
	})
	resp, err := NewPool().Send(context.Background(), e.address, newRequest("1"))
	is.NoErr(err)
	text, err := readBody(t, resp)
	is.NoErr(err)
	is.Equal(text, "new")
}

// An idle connection with bytes that belong to no request is not reused.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			req, ok := e.readRequest(r)
			if !ok {
				return
			}
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
			writeText(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		resp, err := pool.Send(context.Background(), e.address, newRequest(id))
		is.NoErr(err)
		text, err := readBody(t, resp)
		is.NoErr(err)
		is.Equal(text, "ok")
		time.Sleep(20 * time.Millisecond) // wait until the stray bytes arrive
	}
	is.Equal(e.connections.Load(), int64(2))
}

func TestTruncatedBodyReturnsError(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nhalf", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
				e.readRequest(r)
				writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
			})
			resp, err := NewPool().Send(context.Background(), e.address, newRequest("1"))
			is.NoErr(err)
			_, err = readBody(t, resp)
			is.True(err != nil)
		})
	}
}

// A body without a length ends when the connection is closed, but not when it
// is reset.
func TestResetOfBodyWithoutLengthReturnsError(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, n int64, c net.Conn, r *bufio.Reader) {
		e.readRequest(r)
		writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nsome")
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0) // close sends a reset
		}
	})
	pool := NewPool()
	resp, err := pool.Send(context.Background(), e.address, newRequest("1"))
	is.NoErr(err)
	_, err = readBody(t, resp)
	is.True(err != nil)
	resp, err = pool.Send(context.Background(), e.address, newRequest("1"))
	is.NoErr(err)
	text, err := readBody(t, resp)
	is.NoErr(err)
	is.Equal(text, "some")
}

// An endpoint may respond before it has read the body. The rest of the body is
// still written, and nothing follows it on the connection.
func TestEarlyResponseDoesNotInterruptBody(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	bodyBytes := make(chan int64, 1)
	e := startEndpoint(t, func(_ *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		n, _ := io.Copy(io.Discard, req.Body)
		bodyBytes <- n
	})
	r := newRequest("1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, size), true
	resp, err := NewPool().Send(context.Background(), e.address, r)
	is.NoErr(err)
	b, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(b), "ok")
	is.Equal(<-bodyBytes, int64(size))
	is.NoErr(resp.Close())
}

func TestCanceledRequestClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, _ net.Conn, r *bufio.Reader) {
		e.readRequest(r)
		_, _ = r.ReadByte() // until the caller closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Send(ctx, e.address, newRequest("1"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	<-closed
}

func TestTimeoutIsReportedAsTimedOut(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, _ net.Conn, r *bufio.Reader) {
		e.readRequest(r)
		_, _ = r.ReadByte()
	})
	r := newRequest("1")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err := NewPool().Send(context.Background(), e.address, r)
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	is.True(f.TimedOut)
}

func TestConnectionLimitPerEndpoint(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		e.readRequest(r)
		writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		_, _ = r.ReadByte()
	})
	pool := NewPool()
	r := newRequest("1")
	r.MaxConnections = 1
	first, err := pool.Send(context.Background(), e.address, r)
	is.NoErr(err)
	_, err = pool.Send(context.Background(), e.address, r)
	is.True(errors.Is(err, ErrTooManyConnections))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
	is.NoErr(first.Close())
	again, err := pool.Send(context.Background(), e.address, r)
	is.NoErr(err)
	is.NoErr(again.Close())
}

// Guards against endpoints that are told a time from before their connection was open.
func TestRequestIsStampedOnceItsConnectionIsOpen(t *testing.T) {
	is := is.New(t)
	told := make(chan string, 1)
	e := startEndpoint(t, func(e *fakeEndpoint, _ int64, c net.Conn, r *bufio.Reader) {
		if req, ok := e.readRequest(r); ok {
			told <- req.Header.Get("Left")
			writeText(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	var opened time.Time
	pool := NewPool()
	control := pool.dialer.Control
	pool.dialer.Control = func(network, address string, c syscall.RawConn) error {
		time.Sleep(50 * time.Millisecond)
		opened = time.Now()
		return control(network, address, c)
	}
	r := newRequest("1")
	r.Stamp = func(now time.Time, h http.Header) {
		is.True(now.After(opened))
		h.Set("Left", "stamped")
	}
	resp, err := pool.Send(context.Background(), e.address, r)
	is.NoErr(err)
	_, err = readBody(t, resp)
	is.NoErr(err)
	is.Equal(<-told, "stamped")
}
