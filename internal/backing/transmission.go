package backing

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// transmission is the sending of one request. It is safe for concurrent use.
type transmission struct {
	// conn is the connection of the request; nil until one is assigned, before any
	// byte can have been sent.
	conn atomic.Pointer[net.Conn]
	// head counts the bytes of the answer's head.
	head headMeter
	// written is closed once the request has been written or could not be. writeErr is why;
	// the transport may write a request without a body once more on another connection.
	written   chan struct{}
	writeOnce sync.Once
	writeErr  atomic.Pointer[error]
}

// wrote notes the end of a writing.
func (t *transmission) wrote(err error) {
	t.writeErr.Store(&err)
	t.writeOnce.Do(func() { close(t.written) })
}

// writeEndTime bounds the wait for the end of the writing once the connection has ended.
const writeEndTime = time.Second

// requestCut reports whether the request was not written whole, once the connection has ended.
func (t *transmission) requestCut() bool {
	select {
	case <-t.written:
		return *t.writeErr.Load() != nil
	case <-time.After(writeEndTime):
		return true
	}
}

// use notes the connection of the request. What it reads from now on is the head.
func (t *transmission) use(conn net.Conn) {
	if observed := observer(conn); observed != nil {
		observed.head.Store(&t.head)
	}
	t.conn.Store(&conn)
}

// headRead ends the count of the head.
func (t *transmission) headRead() {
	if conn := t.conn.Load(); conn != nil {
		if observed := observer(*conn); observed != nil {
			observed.head.Store(nil)
		}
	}
}

// started reports whether bytes of the request may have been sent.
func (t *transmission) started() bool { return t.conn.Load() != nil }

// unannouncedClose reports whether an encrypted connection was closed without the
// peer's close_notify. crypto/tls reports io.EOF in both cases.
func (t *transmission) unannouncedClose() bool {
	conn := t.conn.Load()
	if conn == nil {
		return false
	}
	if _, encrypted := (*conn).(*tls.Conn); !encrypted {
		return false
	}
	raw := observer(*conn)
	return raw != nil && raw.closed.Load()
}

// observer returns the observed connection of a plain or an encrypted one; nil if it has
// none.
func observer(conn net.Conn) *observedConn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	observed, _ := conn.(*observedConn)
	return observed
}

// observedConn is a connection that notes its end and counts the heads that it reads. An
// encrypted connection is not read further behind a close_notify.
type observedConn struct {
	net.Conn
	closed atomic.Bool
	// head counts what is read; nil outside of a head.
	head atomic.Pointer[headMeter]
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it bare
		c.closed.Store(true)
	}
	if head := c.head.Load(); head != nil && n > 0 {
		if err := head.count(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

const (
	// maxHeadBytes is the maximum size of the head of an answer with those of all
	// informational answers before it.
	maxHeadBytes = 64 << 10
	// headLineBytes is the memory of a header field without its text.
	headLineBytes = 128
)

// headMeter counts the head of one answer and reserves its memory.
type headMeter struct {
	reservation *bodybudget.Reservation
	bytes       atomic.Int64
	// err is why the head was cut; net/http does not pass it on.
	err atomic.Pointer[error]
}

func (m *headMeter) count(b []byte) error {
	err := m.reserve(b)
	if err != nil {
		m.err.Store(&err)
	}
	return err
}

func (m *headMeter) reserve(b []byte) error {
	if m.bytes.Add(int64(len(b))) >= maxHeadBytes {
		return ErrTooLong
	}
	memory := len(b) + headLineBytes*bytes.Count(b, []byte{'\n'})
	if m.reservation.Grow(memory) != nil {
		return bodybudget.ErrExhausted
	}
	return nil
}
