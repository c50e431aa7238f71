package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errStalled is the cause of the end of an attempt that made no progress in time.
var errStalled = errors.New("no event arrived in time")

// stallWatch ends an attempt that makes no progress. Only the goroutine that relays
// the attempt calls its methods. A nil *stallWatch watches nothing.
type stallWatch struct {
	limit time.Duration

	mu sync.Mutex // guards the fields below
	// timer runs out limit after the last progress.
	timer *time.Timer
	// stopped is set once the attempt or the watch has ended.
	stopped bool
	// reserved is set once the resumption of the stream was reserved.
	reserved bool
}

// stallRecheckInterval is the time after which a stalled attempt that could not be
// resumed elsewhere is checked again.
const stallRecheckInterval = 200 * time.Millisecond

// newStallWatch starts a watch. When the attempt has made no progress for limit, and
// reserve has reserved what it takes to resume the stream elsewhere, end is called
// once. Otherwise the attempt continues, since it may still recover.
func newStallWatch(limit time.Duration, reserve func() bool, end func()) *stallWatch {
	w := &stallWatch{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() { w.expire(reserve, end) })
	return w
}

func (w *stallWatch) expire(reserve func() bool, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if !reserve() {
		w.timer.Reset(stallRecheckInterval)
		return
	}
	w.stopped = true
	w.reserved = true
	end()
}

// pause stops the time while events are written to the caller: a caller that reads
// slowly does not make the engine's stream a stalled one.
func (w *stallWatch) pause() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// progress restarts the time after events were relayed.
func (w *stallWatch) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch. It reports whether retry budget was reserved.
func (w *stallWatch) stop() (reserved bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.reserved
}
