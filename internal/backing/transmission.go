package backing

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
)

// transmission is the sending of one request. It is safe for concurrent use.
type transmission struct {
	// conn is the connection of the request; nil until one is assigned, before any
	// byte can have been sent.
	conn atomic.Pointer[net.Conn]
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
	encrypted, ok := (*conn).(*tls.Conn)
	if !ok {
		return false
	}
	raw, ok := encrypted.NetConn().(*closeObserver)
	return ok && raw.closed.Load()
}

// closeObserver is a connection that notes its end. An encrypted connection is not read
// further behind a close_notify.
type closeObserver struct {
	net.Conn
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *closeObserver) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it bare
		c.closed.Store(true)
	}
	return n, err
}
