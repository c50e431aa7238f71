package rpc

import (
	"sync"
	"time"
)

// watchdog ends a session on which nothing arrives. While requests are open
// the bound is Silence, counted from the last frame or from the opening of the
// first request, whichever is later; IdleSilence after the last frame always
// ends it, so that requests which come and go delay nothing. It is safe for
// concurrent use.
type watchdog struct {
	opts  Options
	mu    sync.Mutex
	timer *time.Timer
	heard time.Time
	// busy says that requests are open, since says from when.
	busy  bool
	since time.Time
}

func newWatchdog(opts Options, end func()) *watchdog {
	return &watchdog{opts: opts, heard: time.Now(), timer: time.AfterFunc(opts.IdleSilence, end)}
}

// frame notes that a frame arrived.
func (w *watchdog) frame() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = time.Now()
	w.arm()
}

// setBusy notes whether requests are open.
func (w *watchdog) setBusy(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if busy == w.busy {
		return
	}
	w.busy = busy
	w.since = time.Now()
	w.arm()
}

// arm sets the timer to the bound. The caller holds mu.
func (w *watchdog) arm() {
	end := w.heard.Add(w.opts.IdleSilence)
	if w.busy {
		from := w.heard
		if w.since.After(from) {
			from = w.since
		}
		if at := from.Add(w.opts.Silence); at.Before(end) {
			end = at
		}
	}
	// A timer that ran must not run again: the session is over.
	if w.timer.Stop() {
		w.timer.Reset(time.Until(end))
	}
}

func (w *watchdog) stop() { w.timer.Stop() }
