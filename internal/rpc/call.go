package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Call is one open request of a session.
type Call struct {
	session   *Session
	stream    uint64
	requestID string
	box       *mailbox
	// sent is set before the first byte of the request may leave.
	sent atomic.Bool
	// timer is used by NextWithin, from one goroutine.
	timer *time.Timer
}

// ErrWait means that no message arrived within the wait.
var ErrWait = errors.New("no message arrived in time")

// Next returns the next message of the answer. An error carries the verdict
// of the request; after it, or after a message that ends the answer, the call
// is over. When ctx ends first the request goes on until Cancel.
func (c *Call) Next(ctx context.Context) (*wire.AgentMessage, error) {
	return c.box.next(ctx, nil)
}

// NextWithin is Next with a bound on the wait, after which it returns ErrWait.
// Only one goroutine may use it.
func (c *Call) NextWithin(ctx context.Context, wait time.Duration) (*wire.AgentMessage, error) {
	if m, err := c.box.pop(); m != nil || err != nil {
		return m, err
	}
	if c.timer == nil {
		c.timer = time.NewTimer(wait)
	} else {
		c.timer.Reset(wait)
	}
	return c.box.next(ctx, c.timer.C)
}

// Cancel asks the agent to stop the request and forgets it: answers that
// still arrive are dropped. It is called by the goroutine that reads.
func (c *Call) Cancel() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.cancel()
}

func (c *Call) cancel() {
	if !c.session.forget(c.stream) {
		return
	}
	c.session.out.put(&wire.EntryMessage{
		Stream:    c.stream,
		RequestId: c.requestID,
		Body:      &wire.EntryMessage_Cancel{Cancel: &wire.CancelRequest{}},
	}, nil)
}
