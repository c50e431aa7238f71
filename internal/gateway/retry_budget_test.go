package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In every window, the retries are at most the slack plus ratio times the
// requests in that window, in the one before it, or in the one half a window
// before it, whichever has most.
func TestRetryBudgetLimitsRetriesInEveryWindow(t *testing.T) {
	const ratio, window, slack = 0.2, 10 * time.Second, 5.0
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		budget := NewRetryBudget(start, ratio, window, func() float64 { return slack })
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			now := start.Add(at)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(now, "s")
				events = append(events, event{at, false})
			}
			for budget.TryRetry(now, "s") {
				events = append(events, event{at, true})
			}
		}
		count := func(from time.Duration, retry bool) (n float64) {
			for _, e := range events {
				if e.retry == retry && e.at >= from && e.at < from+window {
					n++
				}
			}
			return n
		}
		for _, e := range events {
			requests := max(count(e.at, false), count(e.at-window, false), count(e.at-window/2, false))
			if retries := count(e.at, true); retries > ratio*requests+slack {
				t.Fatalf("%v retries in the window from %v, %v requests", retries, e.at, requests)
			}
		}
	})
}

// Counts expire when the window passes, also when the host counted nothing for
// much longer than a window.
func TestRetryBudgetResetsAfterWindowPasses(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	budget := NewRetryBudget(start, 0, 10*time.Second, func() float64 { return 1 })
	is.True(budget.TryRetry(start, "s"))
	is.True(!budget.TryRetry(start.Add(9*time.Second), "s"))
	is.True(budget.TryRetry(start.Add(11*time.Second), "s"))
	is.True(budget.TryRetry(start.Add(time.Hour), "s"))
}
