package rpc

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// mailbox is a bounded queue of the messages that answer one request.
// Consecutive tokens are merged into one message, so a slow caller catches up
// with a single receive. It is safe for concurrent use.
type mailbox struct {
	limitBytes int
	wake       chan struct{}

	mu          sync.Mutex
	messages    []*wire.AgentMessage
	queuedBytes int
	err         error
}

func newMailbox(limitBytes int) *mailbox {
	return &mailbox{limitBytes: limitBytes, wake: make(chan struct{}, 1)}
}

// put adds a message. It returns false and drops m if the tokens of m would exceed
// the limit, because the caller receives too slowly. An empty mailbox accepts tokens
// of any size, and messages without tokens are always accepted. After fail, put drops
// m and returns true.
func (b *mailbox) put(m *wire.AgentMessage) bool {
	size := messageBytes(m)
	b.mu.Lock()
	if b.err != nil {
		b.mu.Unlock()
		return true
	}
	if b.queuedBytes+size > b.limitBytes && b.queuedBytes > 0 && m.GetTokens() != nil {
		b.mu.Unlock()
		return false
	}
	b.queuedBytes += size
	if !b.merge(m) {
		b.messages = append(b.messages, m)
	}
	b.mu.Unlock()
	b.signal()
	return true
}

// merge appends the tokens of m to the last message if they directly follow it,
// and reports whether it did. The caller must hold b.mu.
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

// fail closes the mailbox with err. Messages that are already queued are still
// delivered.
func (b *mailbox) fail(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.signal()
}

// next returns the next message or the error of the mailbox. It returns the
// error of ctx when ctx ends, and ErrReceiveTimeout when timeout, which may be
// nil, fires.
func (b *mailbox) next(ctx context.Context, timeout <-chan time.Time) (*wire.AgentMessage, error) {
	for {
		m, err := b.pop()
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout:
			return nil, ErrReceiveTimeout
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
	b.messages[0] = nil
	b.messages = b.messages[1:]
	b.queuedBytes -= messageBytes(m)
	if len(b.messages) == 0 {
		b.queuedBytes = 0
	}
	return m, nil
}

func (b *mailbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// tokenOverheadBytes is the memory of one token without its text.
const tokenOverheadBytes = 24

func messageBytes(m *wire.AgentMessage) int {
	tokens := m.GetTokens()
	if tokens == nil {
		return proto.Size(m)
	}
	size := 0
	for _, text := range tokens.Texts {
		size += len(text) + tokenOverheadBytes
	}
	return size
}

// headerBytes is the memory of a header value without its text.
const headerBytes = 128

// answerBytes returns the memory of a message that carries a part of an endpoint's answer,
// or 0 for any other.
func answerBytes(m *wire.AgentMessage) int {
	switch {
	case m.GetTokens() != nil:
		return messageBytes(m)
	case m.GetCall() != nil:
		size := messageBytes(m)
		for _, h := range m.GetCall().Headers {
			size += headerBytes * (1 + len(h.Values))
		}
		return size
	default:
		return 0
	}
}
