package rpc

import (
	"sync"

	"google.golang.org/protobuf/proto"
)

// outbox is a bounded queue of messages that one goroutine sends in groups.
type outbox[M proto.Message] struct {
	limit int
	wake  chan struct{}

	mu     sync.Mutex
	items  []outboxItem[M]
	bytes  int
	closed bool
}

type outboxItem[M proto.Message] struct {
	message M
	bytes   int
	// taken runs under the outbox's lock just before the message is sent.
	taken func()
}

func newOutbox[M proto.Message](limit int) *outbox[M] {
	return &outbox[M]{limit: limit, wake: make(chan struct{}, 1)}
}

// put queues a message. It returns false, and the message is never sent, when
// the outbox is full or closed.
func (o *outbox[M]) put(m M, taken func()) bool {
	size := proto.Size(m)
	o.mu.Lock()
	if o.closed || (o.bytes+size > o.limit && len(o.items) > 0) {
		o.mu.Unlock()
		return false
	}
	o.items = append(o.items, outboxItem[M]{message: m, bytes: size, taken: taken})
	o.bytes += size
	o.mu.Unlock()
	o.signal()
	return true
}

func (o *outbox[M]) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take removes and returns a group of messages of about max bytes.
func (o *outbox[M]) take(maxBytes int) []M {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.items) == 0 {
		return nil
	}
	group := make([]M, 0, len(o.items))
	size := 0
	for i := range o.items {
		if size > 0 && size+o.items[i].bytes > maxBytes {
			break
		}
		size += o.items[i].bytes
		group = append(group, o.items[i].message)
		if o.items[i].taken != nil {
			o.items[i].taken()
		}
		o.items[i] = outboxItem[M]{}
	}
	o.items = o.items[len(group):]
	o.bytes -= size
	if len(o.items) > 0 {
		o.signal()
	}
	return group
}

// close drops what waits. No message is taken after it returns.
func (o *outbox[M]) close() {
	o.mu.Lock()
	o.closed = true
	o.items = nil
	o.mu.Unlock()
	o.signal()
}
