package host

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// delaySampleInterval is the time between samples of the scheduling delay.
	delaySampleInterval = 50 * time.Millisecond
	// delaySamples is the number of samples of which the current delay is at most the
	// maximum.
	delaySamples = 8
	// punctualSamples is the number of samples in time after which earlier delays are
	// over: what waited then has run.
	punctualSamples = 2
	// minSchedulingDelay is the least delay that is reported. Timers fire late by
	// less on an idle host.
	minSchedulingDelay = 10 * time.Millisecond
)

// schedulingDelays measures by how much this process is late to run what is ready to
// run, because it is short of processor time. Current is safe for concurrent use.
type schedulingDelays struct {
	samples  [delaySamples]time.Duration
	next     int
	punctual int // samples in time since the last late one
	current  atomic.Int64
	// due is when the next sample is due; nil before the first.
	due atomic.Pointer[time.Time]
}

// Current returns the longest recent delay that what is run now may have had; 0 if the
// process runs in time. A sample that is overdue counts: what waited with it may run first.
func (d *schedulingDelays) Current() time.Duration {
	longest := time.Duration(d.current.Load())
	if due := d.due.Load(); due != nil {
		if overdue := time.Since(*due); overdue >= minSchedulingDelay {
			longest = max(longest, overdue)
		}
	}
	return longest
}

// run samples the delay until ctx is done.
func (d *schedulingDelays) run(ctx context.Context) {
	defer d.due.Store(nil)
	for {
		due := time.Now().Add(delaySampleInterval)
		d.due.Store(&due)
		if !backing.Pause(ctx, delaySampleInterval) {
			return
		}
		// The runtime runs what a timer wakes before all that waits.
		runtime.Gosched()
		d.record(time.Since(due))
	}
}

// record adds a sample.
func (d *schedulingDelays) record(delay time.Duration) {
	if delay < minSchedulingDelay {
		delay = 0
		d.punctual++
	} else {
		d.punctual = 0
	}
	if d.punctual >= punctualSamples {
		d.samples = [delaySamples]time.Duration{}
	}
	d.samples[d.next%delaySamples] = delay
	d.next++
	longest := time.Duration(0)
	for _, sample := range d.samples {
		longest = max(longest, sample)
	}
	d.current.Store(int64(longest))
}
