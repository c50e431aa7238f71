package httpdrain

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// lingerTimeout bounds the wait for more of the body of a request that is answered. A close
// while the caller sends would reset the connection before it reads the answer.
const lingerTimeout = time.Second

// Listener returns a listener whose connections are tracked from the time at which they are
// accepted, and note when a request is arriving on them. http.Server reports a connection
// later, and as idle until it has read a whole header.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{Listener: l, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	l.tracker.accepting.Add(1)
	defer l.tracker.accepting.Add(-1)
	accepted, err := l.Listener.Accept()
	if errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) {
		return nil, temporaryError{err}
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, tracker: l.tracker, opened: time.Now()}
	l.tracker.set(c, http.StateNew)
	return c, nil
}

// temporaryError makes http.Server accept again after a while; it ends at other errors than
// those of want of descriptors.
type temporaryError struct{ error }

func (temporaryError) Temporary() bool { return true }
func (temporaryError) Timeout() bool   { return false }
func (e temporaryError) Unwrap() error { return e.error }

// Close implements net.Listener. It is no error if the listener beneath is closed:
// http.Server closes it again while Serve has not returned.
func (l listener) Close() error {
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close listener")
	}
	return nil
}

// conn is a connection that notes whether a request is arriving on it.
type conn struct {
	net.Conn
	tracker *Tracker
	opened  time.Time
	// active is set while the server handles a request. arriving is set once something
	// has been read since the last one. answered is set once its handler has returned,
	// though the server may still read the body. ended is set once its reading is ended.
	active, arriving, answered, ended atomic.Bool
	// closing is set at the first Close.
	closing atomic.Bool
	// progress is when the handler returned or something was read since, in nanoseconds
	// from opened: the time of day may jump.
	progress atomic.Int64
}

func (c *conn) noteProgress() { c.progress.Store(int64(time.Since(c.opened))) }

// NetConn returns the connection beneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		// A read that the deadline ends does not look whether something has arrived.
		if unread := c.readArrived(b); unread > 0 {
			n, err = unread, nil
		}
	}
	switch {
	case n > 0:
		c.arriving.Store(true)
		c.noteProgress()
	case err != nil && c.ended.Load() && !c.active.Load():
		// The server would call the header malformed that ends here.
		_ = c.Close()
	}
	return n, err
}

// readArrived reads what has arrived, whatever the deadline; 0 if there is nothing.
func (c *conn) readArrived(b []byte) int {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	return max(0, n)
}

// Close implements net.Conn. During a stop, the first one waits for the delivery of what was
// written; see Tracker.DeliverUntil. Another one meanwhile does not.
func (c *conn) Close() error {
	if until := c.tracker.deliverUntil.Load(); until != nil && c.closing.CompareAndSwap(false, true) && c.awaitDelivery(*until) {
		c.tracker.removeCut(c)
	}
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) setState(state http.ConnState) {
	c.active.Store(state == http.StateActive)
	c.answered.Store(false)
	if state == http.StateIdle {
		c.arriving.Store(false)
	}
}

// lingers reports whether more of the body may come of a request that is answered.
func (c *conn) lingers(now time.Time) bool {
	return now.Sub(c.opened)-time.Duration(c.progress.Load()) < lingerTimeout
}

type connKey struct{}

// withConn returns an http.Server.ConnContext that adds the connection to what next adds.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, noted(c))
	}
}

// noteAnswered returns a handler that notes on the connection when next has returned.
func noteAnswered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
				c.noteProgress()
				c.answered.Store(true)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// noted returns the connection of a Listener that c is or wraps; nil if it is none.
func noted(c net.Conn) *conn {
	for {
		switch wrapped := c.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}
