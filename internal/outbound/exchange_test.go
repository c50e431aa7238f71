package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// peer is an endpoint that plays a script on each connection.
type peer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// play starts a peer; script is run for each connection with the number of the
// connection, and reads requests itself.
func play(t *testing.T, script func(p *peer, n int64, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &peer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := p.connections.Add(1)
			go func() {
				defer c.Close()
				script(p, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// read takes one request off the connection.
func (p *peer) read(r *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, false
	}
	p.requests.Add(1)
	return req, true
}

func say(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(5 * time.Second),
		Belongs: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func body(t *testing.T, a *Answer) (string, error) {
	t.Helper()
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			req, ok := p.read(r)
			if !ok {
				return
			}
			say(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		a, err := pool.Send(context.Background(), p.address, get(id))
		is.NoErr(err)
		text, err := body(t, a)
		is.NoErr(err)
		is.Equal(text, "ok")
	}
	is.Equal(p.connections.Load(), int64(1))
	is.Equal(pool.Dials(), int64(1))
}

// net/http's client sends a GET again when a kept connection closes without an
// answer. This one does not: each decision to send is one request.
func TestARequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		if req, ok := p.read(r); ok {
			say(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		}
		p.read(r) // and closes without an answer
	})
	pool := NewPool()
	a, err := pool.Send(context.Background(), p.address, get("1"))
	is.NoErr(err)
	_, err = body(t, a)
	is.NoErr(err)
	_, err = pool.Send(context.Background(), p.address, get("2"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	is.True(f.Reused)
	is.Equal(p.requests.Load(), int64(2))
}

func TestARefusedConnectionSendsNothing(t *testing.T) {
	is := is.New(t)
	_, err := NewPool().Send(context.Background(), "127.0.0.1:1", get("1"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
	is.True(errors.Is(err, ErrDial))
}

// An extra answer to an earlier request is skipped: the request's own answer
// comes after it.
func TestAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		say(c, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold")
		say(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew")
	})
	a, err := NewPool().Send(context.Background(), p.address, get("1"))
	is.NoErr(err)
	text, err := body(t, a)
	is.NoErr(err)
	is.Equal(text, "new")
}

// A kept connection with bytes that belong to no request is not used again.
func TestStrayBytesEndAConnection(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			req, ok := p.read(r)
			if !ok {
				return
			}
			say(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
			say(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		a, err := pool.Send(context.Background(), p.address, get(id))
		is.NoErr(err)
		text, err := body(t, a)
		is.NoErr(err)
		is.Equal(text, "ok")
		time.Sleep(20 * time.Millisecond) // the stray bytes arrive
	}
	is.Equal(p.connections.Load(), int64(2))
}

func TestACutAnswerIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nhalf", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
				p.read(r)
				say(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
			})
			a, err := NewPool().Send(context.Background(), p.address, get("1"))
			is.NoErr(err)
			_, err = body(t, a)
			is.True(err != nil)
		})
	}
}

// An answer without a length ends with its connection; a reset does not end it.
func TestAResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, n int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		say(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nsome")
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0) // close sends a reset
		}
	})
	pool := NewPool()
	a, err := pool.Send(context.Background(), p.address, get("1"))
	is.NoErr(err)
	_, err = body(t, a)
	is.True(err != nil)
	a, err = pool.Send(context.Background(), p.address, get("1"))
	is.NoErr(err)
	text, err := body(t, a)
	is.NoErr(err)
	is.Equal(text, "some")
}

// An endpoint may answer before it has read the body. The rest of the body is
// still written, and nothing else follows it on the connection.
func TestAnEarlyAnswerLeavesTheBodyWhole(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	got := make(chan int64, 1)
	p := play(t, func(_ *peer, _ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		say(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		n, _ := io.Copy(io.Discard, req.Body)
		got <- n
	})
	r := get("1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, size), true
	a, err := NewPool().Send(context.Background(), p.address, r)
	is.NoErr(err)
	b, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(b), "ok")
	is.Equal(<-got, int64(size))
	is.NoErr(a.Close())
}

func TestAGivenUpRequestEndsItsConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	p := play(t, func(p *peer, _ int64, _ net.Conn, r *bufio.Reader) {
		p.read(r)
		_, _ = r.ReadByte() // until the caller closes
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Send(ctx, p.address, get("1"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	<-ended
}

func TestASilentEndpointIsTold(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, _ net.Conn, r *bufio.Reader) {
		p.read(r)
		_, _ = r.ReadByte()
	})
	r := get("1")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err := NewPool().Send(context.Background(), p.address, r)
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	is.True(f.Silent)
}

func TestConnectionsToAnEndpointAreBounded(t *testing.T) {
	is := is.New(t)
	p := play(t, func(p *peer, _ int64, c net.Conn, r *bufio.Reader) {
		p.read(r)
		say(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		_, _ = r.ReadByte()
	})
	pool := NewPool()
	r := get("1")
	r.Connections = 1
	first, err := pool.Send(context.Background(), p.address, r)
	is.NoErr(err)
	_, err = pool.Send(context.Background(), p.address, r)
	is.True(errors.Is(err, ErrConnections))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
	is.NoErr(first.Close())
	again, err := pool.Send(context.Background(), p.address, r)
	is.NoErr(err)
	is.NoErr(again.Close())
}
