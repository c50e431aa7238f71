package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Call is one open request of a session.
type Call struct {
	session   *Session
	stream    uint64
	requestID string
	mailbox   *mailbox
	// reservation is what the answer holds of the budget of answers.
	reservation *bodybudget.Reservation
	// inUse is what the tokens returned last hold of reservation. It belongs to the
	// goroutine that receives.
	inUse int
	// sent reports whether bytes of the request may have left this process. It
	// is set before the first byte can be written.
	sent atomic.Bool
	// timer bounds the wait in NextWithin. It is nil until the first use and
	// belongs to the goroutine that receives.
	timer *time.Timer
}

// ErrReceiveTimeout is returned by Call.NextWithin when no message arrives in time.
var ErrReceiveTimeout = errors.New("no message arrived in time")

// Next returns the next message of the answer and blocks until there is one.
// An error carries the verdict of the request. The call is over after an error
// or after a message that ends the answer. If ctx ends first, Next returns the
// error of ctx, and the request continues until Cancel. Tokens hold their memory until
// the next message is asked for, any other message until Cancel. Next must not be called
// concurrently.
func (c *Call) Next(ctx context.Context) (*wire.AgentMessage, error) {
	c.tokensUsed()
	m, err := c.mailbox.next(ctx, nil)
	return c.taken(m), err
}

// taken notes what the tokens of m hold.
func (c *Call) taken(m *wire.AgentMessage) *wire.AgentMessage {
	if m.GetTokens() != nil {
		c.inUse = answerBytes(m)
	}
	return m
}

// tokensUsed returns the memory of the tokens that were returned last.
func (c *Call) tokensUsed() {
	if c.inUse > 0 {
		c.reservation.Shrink(c.inUse)
		c.inUse = 0
	}
}

// NextWithin is like Next but returns ErrReceiveTimeout if no message arrives within
// timeout. It must not be called concurrently.
func (c *Call) NextWithin(ctx context.Context, timeout time.Duration) (*wire.AgentMessage, error) {
	c.tokensUsed()
	if m, err := c.mailbox.pop(); m != nil || err != nil {
		return c.taken(m), err
	}
	if c.timer == nil {
		c.timer = time.NewTimer(timeout)
	} else {
		c.timer.Reset(timeout)
	}
	m, err := c.mailbox.next(ctx, c.timer.C)
	return c.taken(m), err
}

// Cancel asks the agent to stop the request and removes the call from the
// session; messages that arrive later are dropped. It must be called by the
// goroutine that receives, once the answer is no longer in use.
func (c *Call) Cancel() {
	defer c.reservation.Release()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.abort()
}

func (c *Call) abort() {
	if !c.session.removeCall(c.stream) {
		return
	}
	c.session.out.put(&wire.EntryMessage{
		Stream:    c.stream,
		RequestId: c.requestID,
		Body:      &wire.EntryMessage_Cancel{Cancel: &wire.CancelRequest{}},
	}, nil)
}
