package rpc

import (
	"context"
	"sync/atomic"

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
}

// Next returns the next message of the answer. An error carries the verdict
// of the request; after it, or after a message that ends the answer, the call
// is over. When ctx ends first the request goes on until Cancel.
func (c *Call) Next(ctx context.Context) (*wire.AgentMessage, error) {
	return c.box.next(ctx)
}

// Cancel asks the agent to stop the request and forgets it: answers that
// still arrive are dropped.
func (c *Call) Cancel() {
	if !c.session.forget(c.stream) {
		return
	}
	c.session.out.put(&wire.EntryMessage{
		Stream:    c.stream,
		RequestId: c.requestID,
		Body:      &wire.EntryMessage_Cancel{Cancel: &wire.CancelRequest{}},
	}, nil)
}
