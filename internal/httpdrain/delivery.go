package httpdrain

import (
	"syscall"
	"time"

	"github.com/acacialink/acacialink/internal/sockopt"
)

// deliveryPollInterval is the time between looks at what a caller has acknowledged.
const deliveryPollInterval = 10 * time.Millisecond

// DeliverUntil makes connections that are closed from now on stay open until the caller's
// kernel has acknowledged all that was written to them, unless the caller is gone, at most
// until the given time. What is not acknowledged when the process ends may be lost: its
// address may go with it, and a close with unread bytes discards what is still to be sent.
func (t *Tracker) DeliverUntil(at time.Time) { t.deliverUntil.Store(&at) }

// tracks reports whether the connection is tracked.
func (t *Tracker) tracks(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.conns[c]
	return ok
}

// awaitDelivery waits until what was written is acknowledged, and reports whether it was not
// in time. Connections that the handler has taken over are not waited for.
func (c *conn) awaitDelivery(until time.Time) (undelivered bool) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok || !c.tracker.tracks(c) {
		return false
	}
	for sockopt.Undelivered(connection) {
		if !time.Now().Before(until) {
			return true
		}
		time.Sleep(deliveryPollInterval)
	}
	return false
}
