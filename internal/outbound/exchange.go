package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/framing"
)

// Request is one request to an endpoint.
type Request struct {
	// ID identifies the request in its response; empty if responses carry no ID. A
	// connection that has just carried a request of the same ID is not reused for
	// it, because a second copy of the earlier response could not be told from the
	// response.
	ID     string
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Stamp sets the headers that depend on when the request is written: opening a
	// connection takes time. nil for none.
	Stamp func(now time.Time, h http.Header)
	Body  []byte
	// HasBody reports whether the request has a body, which may be empty.
	HasBody bool
	// NonRepeatable reports whether the request cannot be retried. It is then
	// sent only over a new or a recently used connection, because a stale one
	// could lose it.
	NonRepeatable bool
	// Deadline is the time at which the wait for the response and its body
	// ends.
	Deadline time.Time
	// MaxConnections limits this process's connections to the endpoint; 0 means
	// no limit.
	MaxConnections int
	// Accepts reports whether a response with the given header answers this
	// request: an endpoint may send an additional response to an earlier
	// request. nil accepts any response.
	Accepts func(http.Header) bool
	// Answer reserves the memory of the response's header; nil for no limit.
	Answer *bodybudget.Reservation
}

// Response is a response whose body is being read. The caller must call Close.
// Apart from Close it is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; negative if unknown.
	Length int64
	// Framing is how the response states where its body ends.
	Framing framing.Framing

	pool    *Pool
	address string
	conn    *conn
	body    io.ReadCloser
	// write is the transmission of the request.
	write *requestWrite
	// reusable reports whether the response allows another request on the
	// connection.
	reusable bool
	// complete is set once the body has been read to its end.
	complete bool
	// stop detaches the connection from the context. It returns false if the
	// context has already closed the connection.
	stop      func() bool
	closeOnce sync.Once
}

// Failure is the error of a request without a response.
type Failure struct {
	// Sent reports whether bytes of the request may have reached the endpoint.
	Sent bool
	// Reused reports whether the request was sent over a connection that had
	// carried an earlier one.
	Reused bool
	// TimedOut reports whether the endpoint did not respond before the
	// deadline.
	TimedOut bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Sent {
		return "no response to a request that was sent: " + f.Cause.Error()
	}
	return "request was not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errStrayResponses reports that the endpoint sent only responses to other
// requests.
var errStrayResponses = errors.New("endpoint sent only responses to other requests")

// maxStrayBytes bounds the body of a response to another request that is skipped.
const maxStrayBytes = 1 << 20

// maxStrayResponses is the number of responses to other requests that are
// skipped.
const maxStrayResponses = 2

// Send transmits the request once and waits for the header of its response. The
// error is a *Failure. The response is valid until ctx ends or it is closed.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	// Without this check a request could still be sent on an idle connection.
	if err := ctx.Err(); err != nil {
		return nil, &Failure{Cause: err}
	}
	c, err := p.get(ctx, address, maxIdleFor(r.NonRepeatable), r)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		p.closeConn(address, c)
		return nil, &Failure{Cause: err}
	}
	c.lastID = r.ID
	if r.Stamp != nil {
		r.Stamp(time.Now(), r.Header)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	write := startWrite(c, r)
	response, err := p.readHeader(address, c, r, write)
	if err != nil {
		stop()
		p.closeConn(address, c)
		if c.reused && isTimeout(err) {
			p.CloseIdle(address)
		}
		return nil, &Failure{Sent: true, Reused: c.reused, TimedOut: isTimeout(err), Cause: err}
	}
	response.stop = stop
	return response, nil
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// maxErrorTextBytes bounds the text of an error that quotes what an endpoint sent.
const maxErrorTextBytes = 200

// shortened returns err without its cause if its text is long, as that of a parser is which
// quotes a line.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorTextBytes {
		return errors.New(strings.ToValidUTF8(text[:maxErrorTextBytes], "") + "...")
	}
	return err
}

// readHeader reads responses until one answers the request.
func (p *Pool) readHeader(address string, c *conn, r *Request, write *requestWrite) (*Response, error) {
	c.head.begin(r.Answer)
	defer c.head.end()
	for range maxStrayResponses + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // the connection is pooled or closed as a whole
		if c.head.exceeded != nil {
			return nil, c.head.exceeded // the parser may report the cut line instead
		}
		if err != nil {
			return nil, shortened(err)
		}
		if framing.IsInformational(resp.StatusCode) {
			continue
		}
		if !framing.IsFinal(resp.StatusCode) {
			return nil, framing.ErrStatus
		}
		if r.Accepts == nil || r.Accepts(resp.Header) {
			c.applyKeepAlive(resp.Header)
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framing.Of(resp),
				pool: p, address: address, conn: c, write: write, body: framing.ConfirmRequest(framing.NewBody(resp, nil), framing.Of(resp), write.failed), reusable: !resp.Close && r.Deadline.After(time.Now()),
			}, nil
		}
		if resp.Close {
			return nil, errStrayResponses
		}
		c.head.end()
		if n, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes); n == maxStrayBytes || err != io.EOF { //nolint:errorlint // io.CopyN returns the reader's bare EOF
			return nil, errStrayResponses
		}
		c.head.begin(r.Answer)
	}
	return nil, errStrayResponses
}

// Read reads the body. io.EOF means that the body is complete as far as its
// framing can tell; any other error means that it is not.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it bare
		r.complete = true
		r.body = http.NoBody // drops the trailers
	}
	return n, err
}

// Close ends the exchange. The connection returns to the pool if the request
// was written and the response was read completely. Otherwise it is closed,
// which cancels the work at the endpoint. The error is always nil.
func (r *Response) Close() error {
	r.closeOnce.Do(func() {
		connected := r.stop()
		if connected && r.reusable && r.complete && r.write.succeeded() && r.conn.SetDeadline(time.Time{}) == nil {
			r.pool.put(r.address, r.conn)
			return
		}
		r.pool.closeConn(r.address, r.conn)
	})
	return nil
}

// requestWrite is the transmission of one request.
type requestWrite struct {
	// done is closed when the transmission ends.
	done chan struct{}
	// err is the result. It may be read once done is closed.
	err error
}

// succeeded reports whether the request has been written completely.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// failed waits for the end of the transmission, at most until the connection's deadline or its
// close, and reports whether the request was not written whole.
func (w *requestWrite) failed() bool {
	<-w.done
	return w.err != nil
}

// inlineBodyBytes is the largest body that is written before the response is
// read. A larger one could block both sides if the endpoint responds early.
const inlineBodyBytes = 8 << 10

// startWrite writes the request, in a goroutine if its body is larger than
// inlineBodyBytes.
func startWrite(c *conn, r *Request) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	if len(r.Body) <= inlineBodyBytes {
		w.err = writeRequest(c, r)
		close(w.done)
		return w
	}
	go func() {
		w.err = writeRequest(c, r)
		close(w.done)
	}()
	return w
}

// writeRequest writes the request to the connection. A write error also
// surfaces when the response is read.
func writeRequest(c *conn, r *Request) error {
	w := bufio.NewWriterSize(c.Conn, ioBufferBytes)
	for _, part := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if r.HasBody {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}
