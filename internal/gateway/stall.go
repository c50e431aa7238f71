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
	// timer runs out limit after the last progress, at due.
	timer *time.Timer
	due   time.Time
	// paused is set while events are written to the caller.
	paused bool
	// excused is set once the time that this process was late is added to the limit.
	excused bool
	// stopped is set once the attempt or the watch has ended.
	stopped bool
	// reserved is set once the resumption of the stream was reserved.
	reserved bool
}

// stallRecheckInterval is the time after which a stalled attempt that could not be
// resumed elsewhere is checked again.
const stallRecheckInterval = 200 * time.Millisecond

// minLateness is the least lateness of the timer that is taken for the process's own.
const minLateness = 20 * time.Millisecond

// newStallWatch starts a watch. When the attempt has made no progress for limit, and
// reserve has reserved what it takes to resume the stream elsewhere, end is called
// once. Otherwise the attempt continues, since it may still recover.
func newStallWatch(limit time.Duration, reserve func() bool, end func()) *stallWatch {
	w := &stallWatch{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(limit)
	w.timer = time.AfterFunc(limit, func() { w.expire(time.Now(), reserve, end) })
	return w
}

// expire ends the attempt if it can be resumed elsewhere. It may run after the timer was
// restarted or stopped, if that was when it ran out. A process that ran late has not read
// what came meanwhile, so it waits for that much longer, once in each silence.
func (w *stallWatch) expire(now time.Time, reserve func() bool, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.paused || now.Before(w.due) {
		return
	}
	if late := now.Sub(w.due); late >= minLateness && !w.excused {
		w.excused = true
		w.reset(now, min(late, w.limit))
		return
	}
	if !reserve() {
		w.reset(now, stallRecheckInterval)
		return
	}
	w.stopped = true
	w.reserved = true
	end()
}

// reset restarts the timer. The caller holds mu.
func (w *stallWatch) reset(now time.Time, after time.Duration) {
	w.due = now.Add(after)
	w.timer.Reset(after)
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
	w.paused = true
}

// progress restarts the time after events were relayed.
func (w *stallWatch) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.paused, w.excused = false, false
		w.reset(time.Now(), w.limit)
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
