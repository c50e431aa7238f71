// Package outbound sends requests to endpoints over HTTP/1.1 connections that
// it keeps itself, so that each decision to send puts exactly one request on
// the wire and the caller learns whether any of it may have arrived.
package outbound

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one kept connection; one request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer ended, idleLimit how long the endpoint
	// keeps the connection open after that.
	idleSince time.Time
	idleLimit time.Duration
	used      bool
}

const (
	// readBuffer holds an answer's headers and short events.
	readBuffer = 4 << 10
	// defaultIdleLimit is for endpoints that do not state their idle timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how long before the stated idle timeout a connection is
	// given up, so that no request crosses the endpoint's close.
	idleMargin = 500 * time.Millisecond
)

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idleLimit: defaultIdleLimit}
}

// usable says whether a request may be sent: the connection is still open and
// holds no byte that belongs to no request.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if now.Sub(c.idleSince) > min(c.idleLimit, maxIdle) || c.reader.Buffered() > 0 {
		return false
	}
	return !c.readable()
}

// readable says whether bytes or an end wait on the socket. A byte that it
// reads makes the connection unusable, which its caller closes.
func (c *conn) readable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		waiting = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK //nolint:errorlint // a bare errno
		return true
	})
	return err != nil || waiting
}

// noteKeepAlive reads the idle timeout that the endpoint states.
func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			c.idleLimit = max(time.Duration(s)*time.Second-idleMargin, idleMargin/2)
		}
	}
}
