package rpc

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWatchdogDeadlines checks when a session ends on which nothing arrives
// from second 0 on, for requests that open and end at the given times.
func TestWatchdogDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		busyChanges []time.Duration
		wantEnd     time.Duration
	}{
		"idle":                   {nil, 5 * time.Second},
		"open from the start":    {[]time.Duration{0}, 2 * time.Second},
		"opened late":            {[]time.Duration{1900 * time.Millisecond}, 3900 * time.Millisecond},
		"opened at the end":      {[]time.Duration{4 * time.Second}, 5 * time.Second},
		"ended in time":          {[]time.Duration{0, time.Second}, 5 * time.Second},
		"requests come and go":   {[]time.Duration{1e9, 2e9, 3e9, 4e9, 4.5e9, 4.9e9}, 5 * time.Second},
		"open again before that": {[]time.Duration{0, 1e9, 1.5e9}, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				ended := make(chan time.Duration, 1)
				w := newWatchdog(Options{SilenceTimeout: 2 * time.Second}.withDefaults(), func() { ended <- time.Since(start) })
				for i, at := range c.busyChanges {
					time.Sleep(time.Until(start.Add(at)))
					w.setBusy(i%2 == 0)
				}
				is.Equal(<-ended, c.wantEnd)
			})
		})
	}
}
