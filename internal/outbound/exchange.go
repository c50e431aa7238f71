package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	// Target is the path with its query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true when the request bears a body, also an empty one.
	HasBody bool
	// Once marks requests that must not be lost to a stale connection.
	Once bool
	// Deadline ends the wait for the answer's headers and body.
	Deadline time.Time
	// Connections bounds this process's connections to the endpoint.
	Connections int
	// Belongs says whether an answer is this request's: an endpoint may send
	// an extra answer to an earlier one. nil accepts any.
	Belongs func(http.Header) bool
}

// Answer is an answer whose body is still being read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or negative when it is not known.
	Length int64

	pool    *Pool
	address string
	conn    *conn
	body    io.ReadCloser
	written *writing
	reuse   bool
	whole   bool
	stop    func() bool
	once    sync.Once
}

// Failure says how far a request got that has no answer.
type Failure struct {
	// Sent is true when bytes of the request may have reached the endpoint.
	Sent bool
	// Reused is true when the request went over a kept connection.
	Reused bool
	// Silent is true when the endpoint said nothing in time.
	Silent bool
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Sent {
		return "no answer to a request that was sent: " + f.Cause.Error()
	}
	return "request was not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errStrayAnswers means that the endpoint sent only answers to other requests.
var errStrayAnswers = errors.New("endpoint sent answers to other requests only")

// maxStray bounds the answers of other requests that are skipped.
const maxStray = 2

// Send puts the request on the wire once and waits for the head of its answer.
// The error is a *Failure. The answer lives until ctx ends or it is closed.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	idle := repeatableIdle
	if r.Once {
		idle = onceIdle
	}
	c, err := p.get(ctx, address, idle, r.Connections)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		p.discard(address, c)
		return nil, &Failure{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	w := startWrite(c, r)
	a, err := p.head(address, c, r)
	if err != nil {
		stop()
		p.discard(address, c)
		if c.used && silent(err) {
			p.Drop(address)
		}
		return nil, &Failure{Sent: true, Reused: c.used, Silent: silent(err), Cause: err}
	}
	a.written, a.stop = w, stop
	return a, nil
}

func silent(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// head reads answers until one belongs to the request.
func (p *Pool) head(address string, c *conn, r *Request) (*Answer, error) {
	for range maxStray + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // the connection is kept or closed as a whole
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if r.Belongs == nil || r.Belongs(resp.Header) {
			c.noteKeepAlive(resp.Header)
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
				pool: p, address: address, conn: c, body: resp.Body, reuse: !resp.Close && r.Deadline.After(time.Now()),
			}, nil
		}
		if resp.Close {
			return nil, errStrayAnswers
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStrayAnswers
}

// Read reads the body. io.EOF means that the body is whole as far as its
// framing tells; any other error that it is not.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it bare
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept when the answer was read
// whole and the request written whole; else it is closed, which ends the work
// at the endpoint.
func (a *Answer) Close() error {
	a.once.Do(func() {
		alive := a.stop()
		if alive && a.reuse && a.whole && a.written.done() && a.conn.SetDeadline(time.Time{}) == nil {
			a.pool.put(a.address, a.conn)
			return
		}
		a.pool.discard(a.address, a.conn)
	})
	return nil
}

// writing is the writing of one request.
type writing struct {
	end chan struct{}
	err error
}

// done says whether the request was written whole by now.
func (w *writing) done() bool {
	select {
	case <-w.end:
		return w.err == nil
	default:
		return false
	}
}

// inlineBody is the largest body that is written before the answer is read; a
// longer one could block both sides when the endpoint answers early.
const inlineBody = 8 << 10

func startWrite(c *conn, r *Request) *writing {
	w := &writing{end: make(chan struct{})}
	if len(r.Body) <= inlineBody {
		w.err = write(c, r)
		close(w.end)
		return w
	}
	go func() {
		w.err = write(c, r)
		close(w.end)
	}()
	return w
}

// write puts the request on the wire. A failure shows when the answer is read.
func write(c *conn, r *Request) error {
	b := bufio.NewWriterSize(c.Conn, readBuffer)
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := b.WriteString(s); err != nil {
			return err
		}
	}
	if err := r.Header.Write(b); err != nil {
		return err
	}
	if r.HasBody {
		if _, err := b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := b.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := b.Write(r.Body); err != nil {
		return err
	}
	return b.Flush()
}
