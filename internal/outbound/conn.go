// Package outbound sends requests to endpoints over its own pool of HTTP/1.1
// connections. Unlike net/http, it never retries on its own: each Send
// transmits exactly one request, and its error states whether any of the
// request may have reached the endpoint.
package outbound

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// conn is a persistent connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds the bytes read while a response header is awaited.
	head *headLimit
	// lastID is the ID of the last request sent; empty for none.
	lastID string
	// idleSince is the time at which the last response ended.
	idleSince time.Time
	// idleLimit is the idle time after which the connection is not reused.
	idleLimit time.Duration
	// reused is set once the connection has completed a request.
	reused bool
}

const (
	// ioBufferBytes is the size of the read and write buffers. A response
	// header and short events fit into it.
	ioBufferBytes = 4 << 10
	// defaultIdleLimit applies to endpoints that do not send their idle
	// timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is
	// closed, so that no request is sent while the endpoint closes it.
	idleMargin = 500 * time.Millisecond
)

func newConn(c net.Conn) *conn {
	head := &headLimit{reader: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(head, ioBufferBytes), head: head, idleLimit: defaultIdleLimit}
}

const (
	// maxHeadBytes bounds the header of one response, with the headers of informational
	// responses before it. maxHeadLines bounds its lines.
	maxHeadBytes = 64 << 10
	maxHeadLines = 1 << 10
	// headLineBytes is the memory of a header field besides its text.
	headLineBytes = 256
)

// ErrHeadTooLong reports a response header that exceeds the maximum size.
var ErrHeadTooLong = errors.New("response header exceeds the maximum size")

// headLimit reads from a connection and fails once the limit is used up, so that an
// endpoint that never ends its header cannot exhaust memory.
type headLimit struct {
	reader  io.Reader
	limited bool
	left    int
	lines   int
	// answer reserves the memory of the header.
	answer *bodybudget.Reservation
	// exceeded is set once the limit or the reservation was.
	exceeded error
}

// begin limits the bytes that are read until end, and reserves their memory.
func (h *headLimit) begin(answer *bodybudget.Reservation) {
	h.limited, h.left, h.lines, h.answer = true, maxHeadBytes, 0, answer
}

func (h *headLimit) end() { h.limited, h.answer = false, nil }

// Read implements io.Reader.
func (h *headLimit) Read(b []byte) (int, error) {
	if !h.limited {
		return h.reader.Read(b)
	}
	if h.exceeded == nil && (h.left <= 0 || h.lines >= maxHeadLines) {
		h.exceeded = ErrHeadTooLong
	}
	if h.exceeded != nil {
		return 0, h.exceeded
	}
	n, err := h.reader.Read(b[:min(len(b), h.left)])
	lines := headLines(b[:n])
	h.left -= n
	h.lines += lines
	// A line is kept twice: as it is read, and as its text.
	if exhausted := h.answer.Grow(2*n + lines*headLineBytes); exhausted != nil {
		h.exceeded = exhausted
		return 0, exhausted
	}
	return n, err
}

// headLines returns the number of line ends in a part of a header, which the body may
// follow.
func headLines(b []byte) int {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(end)); i >= 0 {
			b = b[:i]
		}
	}
	return bytes.Count(b, []byte("\n"))
}

// usable reports whether a request may be sent: the connection has not been
// idle for too long, is still open, and has no unread bytes, which would belong
// to no request.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if now.Sub(c.idleSince) > min(c.idleLimit, maxIdle) || c.reader.Buffered() > 0 {
		return false
	}
	return !c.readable()
}

// readable reports whether the socket has unread bytes, an end of file or an
// error. It may consume a byte, so the caller must close the connection if it
// returns true.
func (c *conn) readable() bool {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		pending = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK //nolint:errorlint // a bare errno
		return true
	})
	return err != nil || pending
}

// applyKeepAlive sets the idle limit from the timeout in the Keep-Alive header.
func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.idleLimit = max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/2)
		}
	}
}
