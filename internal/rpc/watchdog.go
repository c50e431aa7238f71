package rpc

import (
	"sync"
	"time"
)

// watchdog ends a session on which nothing arrives. While requests are open, the
// deadline is SilenceTimeout after the last frame or after the first request was
// opened, whichever is later. In any case the session ends IdleSilenceTimeout
// after the last frame, so that requests which open and end in turn cannot
// postpone its end. It is safe for concurrent use.
type watchdog struct {
	opts      Options
	mu        sync.Mutex
	timer     *time.Timer
	lastFrame time.Time
	// busy reports whether requests are open.
	busy bool
	// busySince is the time of the last change of busy.
	busySince time.Time
}

func newWatchdog(opts Options, end func()) *watchdog {
	return &watchdog{opts: opts, lastFrame: time.Now(), timer: time.AfterFunc(opts.IdleSilenceTimeout, end)}
}

// frameReceived restarts the timeout when a frame arrives.
func (w *watchdog) frameReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFrame = time.Now()
	w.arm()
}

// setBusy records whether requests are open.
func (w *watchdog) setBusy(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if busy == w.busy {
		return
	}
	w.busy = busy
	w.busySince = time.Now()
	w.arm()
}

// arm sets the timer to the deadline. The caller must hold w.mu.
func (w *watchdog) arm() {
	deadline := w.lastFrame.Add(w.opts.IdleSilenceTimeout)
	if w.busy {
		start := w.lastFrame
		if w.busySince.After(start) {
			start = w.busySince
		}
		if busyDeadline := start.Add(w.opts.SilenceTimeout); busyDeadline.Before(deadline) {
			deadline = busyDeadline
		}
	}
	// A timer that has fired must not be reset: the session is over.
	if w.timer.Stop() {
		w.timer.Reset(time.Until(deadline))
	}
}

func (w *watchdog) stop() { w.timer.Stop() }
