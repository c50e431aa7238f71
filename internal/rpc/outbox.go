package rpc

import (
	"math"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// outbox is a bounded queue of messages that one goroutine sends in batches. It
// is safe for concurrent use.
type outbox[M proto.Message] struct {
	limitBytes int
	wake       chan struct{}

	mu          sync.Mutex
	items       []outboxItem[M]
	queuedBytes int
	closed      bool
	// accepted counts the messages that put accepted. taken counts those that
	// take returned, and sent those of them that have been written.
	accepted, taken, sent uint64
	// waiters are called once sent has reached their position, in that order.
	waiters []outboxWaiter
}

// outboxWaiter is called once the messages up to its position are sent.
type outboxWaiter struct {
	position uint64
	notify   func()
}

type outboxItem[M proto.Message] struct {
	message M
	bytes   int
	// onTake is called, if not nil, with outbox.mu held when the message is
	// removed for sending.
	onTake func()
	// reservation, if not nil, holds the bytes of the message until it is taken.
	reservation *bodybudget.Reservation
	// canceled, if not nil, reports whether nobody waits for the message any more. It
	// is then not sent.
	canceled *atomic.Bool
}

func newOutbox[M proto.Message](limitBytes int) *outbox[M] {
	return &outbox[M]{limitBytes: limitBytes, wake: make(chan struct{}, 1)}
}

// put queues a message. It returns false when the outbox is full or closed; the
// message is then never sent. onTake may be nil. A message larger than the limit
// is accepted when the outbox is empty.
func (o *outbox[M]) put(m M, onTake func()) bool {
	return o.add(outboxItem[M]{message: m, bytes: proto.Size(m), onTake: onTake}, o.limitBytes)
}

// putHeld is put for a message that the reservation holds until it is taken, and that is
// not sent if it is canceled before. It also returns false if the reservation refuses it.
func (o *outbox[M]) putHeld(m M, reservation *bodybudget.Reservation, canceled *atomic.Bool) bool {
	size := proto.Size(m)
	if reservation.Grow(size) != nil {
		return false
	}
	if !o.add(outboxItem[M]{message: m, bytes: size, reservation: reservation, canceled: canceled}, o.limitBytes) {
		reservation.Shrink(size)
		return false
	}
	return true
}

// putEnd queues the short message that ends an answer, whatever is queued already: an
// answer has at most one. It returns false if the outbox is closed.
func (o *outbox[M]) putEnd(m M) bool {
	return o.add(outboxItem[M]{message: m, bytes: proto.Size(m)}, math.MaxInt)
}

func (o *outbox[M]) add(item outboxItem[M], limitBytes int) bool {
	o.mu.Lock()
	if o.closed || (o.queuedBytes+item.bytes > limitBytes && len(o.items) > 0) {
		o.mu.Unlock()
		return false
	}
	o.items = append(o.items, item)
	o.queuedBytes += item.bytes
	o.accepted++
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

// take removes and returns the next messages of at most maxBytes together, or a
// single larger one. Canceled ones are removed and not returned.
func (o *outbox[M]) take(maxBytes int) []M {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.items) == 0 {
		return nil
	}
	batch := make([]M, 0, len(o.items))
	removed, batchBytes := 0, 0
	for i := range o.items {
		canceled := o.items[i].canceled != nil && o.items[i].canceled.Load()
		if !canceled && batchBytes > 0 && batchBytes+o.items[i].bytes > maxBytes {
			break
		}
		removed++
		o.queuedBytes -= o.items[i].bytes
		if !canceled {
			batchBytes += o.items[i].bytes
			batch = append(batch, o.items[i].message)
		}
		if o.items[i].onTake != nil {
			o.items[i].onTake()
		}
		if o.items[i].reservation != nil {
			o.items[i].reservation.Shrink(o.items[i].bytes)
		}
		o.items[i] = outboxItem[M]{}
	}
	o.items = o.items[removed:]
	o.taken += uint64(removed)
	if len(o.items) > 0 {
		o.signal()
	}
	return batch
}

// markSent records that the messages returned by take have been written, and
// calls the waiters for them.
func (o *outbox[M]) markSent() {
	o.mu.Lock()
	o.sent = o.taken
	ready := 0
	for ready < len(o.waiters) && o.waiters[ready].position <= o.sent {
		ready++
	}
	notify := o.waiters[:ready]
	o.waiters = o.waiters[ready:]
	o.mu.Unlock()
	for _, w := range notify {
		w.notify()
	}
}

// afterSent calls notify once the messages accepted so far have been written, or
// the outbox is closed. It may call notify before it returns. notify must not
// block.
func (o *outbox[M]) afterSent(notify func()) {
	o.mu.Lock()
	if !o.closed && o.sent < o.accepted {
		o.waiters = append(o.waiters, outboxWaiter{position: o.accepted, notify: notify})
		o.mu.Unlock()
		return
	}
	o.mu.Unlock()
	notify()
}

// close drops all queued messages and calls all waiters. take returns nothing
// after close returns.
func (o *outbox[M]) close() {
	o.mu.Lock()
	o.closed = true
	o.items = nil
	waiters := o.waiters
	o.waiters = nil
	o.mu.Unlock()
	o.signal()
	for _, w := range waiters {
		w.notify()
	}
}
