package node

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/sockopt"
)

// deliveryPollInterval is the time between looks at what peers have acknowledged.
const deliveryPollInterval = 10 * time.Millisecond

// deliveryListener tracks the connections that it accepts, so that a process can end once
// its peers have received what it sent. It is safe for concurrent use.
type deliveryListener struct {
	net.Listener

	mu    sync.Mutex // guards conns
	conns map[*deliveryConn]struct{}
}

func newDeliveryListener(l net.Listener) *deliveryListener {
	return &deliveryListener{Listener: l, conns: make(map[*deliveryConn]struct{})}
}

// Accept implements net.Listener.
func (l *deliveryListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &deliveryConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// await waits until all peers that are there have acknowledged what was written to open
// connections, or ctx ends. A close after that loses nothing, even if it resets the connection.
func (l *deliveryListener) await(ctx context.Context) {
	ticker := time.NewTicker(deliveryPollInterval)
	defer ticker.Stop()
	for l.pending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *deliveryListener) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if sockopt.Undelivered(c) {
			return true
		}
	}
	return false
}

// deliveryConn is a connection of a deliveryListener.
type deliveryConn struct {
	net.Conn
	listener *deliveryListener
}

// SyscallConn implements syscall.Conn.
func (c *deliveryConn) SyscallConn() (syscall.RawConn, error) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	return connection.SyscallConn()
}

// Close implements net.Conn.
func (c *deliveryConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
