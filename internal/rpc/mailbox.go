package rpc

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// mailbox holds the answers of one request until its reader takes them.
// Consecutive tokens are merged, so a slow reader catches up in one step.
type mailbox struct {
	limit int
	wake  chan struct{}

	mu       sync.Mutex
	messages []*wire.AgentMessage
	bytes    int
	err      error
}

func newMailbox(limit int) *mailbox {
	return &mailbox{limit: limit, wake: make(chan struct{}, 1)}
}

// put adds a message; false means that the reader is too slow. A single
// message larger than the limit is taken when the mailbox is empty.
func (b *mailbox) put(m *wire.AgentMessage) bool {
	size := messageBytes(m)
	b.mu.Lock()
	if b.err != nil {
		b.mu.Unlock()
		return true
	}
	if b.bytes+size > b.limit && b.bytes > 0 && m.GetTokens() != nil {
		b.mu.Unlock()
		return false
	}
	b.bytes += size
	if !b.merge(m) {
		b.messages = append(b.messages, m)
	}
	b.mu.Unlock()
	b.signal()
	return true
}

// merge appends tokens to the last message when they go on from it. The
// caller holds mu.
func (b *mailbox) merge(m *wire.AgentMessage) bool {
	next := m.GetTokens()
	if next == nil || len(b.messages) == 0 {
		return false
	}
	last := b.messages[len(b.messages)-1].GetTokens()
	if last == nil || last.First+int32(len(last.Texts)) != next.First {
		return false
	}
	last.Texts = append(last.Texts, next.Texts...)
	return true
}

// fail ends the mailbox; messages that arrived before are still delivered.
func (b *mailbox) fail(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.signal()
}

// next waits for the next message, the failure, the end of ctx, or a tick of
// late, which may be nil.
func (b *mailbox) next(ctx context.Context, late <-chan time.Time) (*wire.AgentMessage, error) {
	for {
		m, err := b.pop()
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-late:
			return nil, ErrWait
		}
	}
}

func (b *mailbox) pop() (*wire.AgentMessage, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.messages) == 0 {
		return nil, b.err
	}
	m := b.messages[0]
	b.messages = b.messages[1:]
	b.bytes -= messageBytes(m)
	if len(b.messages) == 0 {
		b.bytes = 0
	}
	return m, nil
}

func (b *mailbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// tokenOverhead is the memory of one token besides its text, in bytes.
const tokenOverhead = 24

func messageBytes(m *wire.AgentMessage) int {
	tokens := m.GetTokens()
	if tokens == nil {
		return proto.Size(m)
	}
	size := 0
	for _, text := range tokens.Texts {
		size += len(text) + tokenOverhead
	}
	return size
}
