package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In no window are there more repeats than the ratio of the requests in it, in
// the one before or in the one half a window before, plus the slack.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	const ratio, window, slack = 0.2, 10 * time.Second, 5.0
	rapid.Check(t, func(t *rapid.T) {
		begun := time.Now()
		b := NewBudget(begun, ratio, window, func() float64 { return slack })
		type event struct {
			at    time.Duration
			extra bool
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			now := begun.Add(at)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "s")
				events = append(events, event{at, false})
			}
			for b.Spend(now, "s") {
				events = append(events, event{at, true})
			}
		}
		count := func(from time.Duration, extra bool) (n float64) {
			for _, e := range events {
				if e.extra == extra && e.at >= from && e.at < from+window {
					n++
				}
			}
			return n
		}
		for _, e := range events {
			requests := max(count(e.at, false), count(e.at-window, false), count(e.at-window/2, false))
			if extras := count(e.at, true); extras > ratio*requests+slack {
				t.Fatalf("%v repeats in the window from %v, %v requests", extras, e.at, requests)
			}
		}
	})
}

// A host that stood still for long has no memory of what was before.
func TestOldRepeatsAreForgotten(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	b := NewBudget(begun, 0, 10*time.Second, func() float64 { return 1 })
	is.True(b.Spend(begun, "s"))
	is.True(!b.Spend(begun.Add(9*time.Second), "s"))
	is.True(b.Spend(begun.Add(11*time.Second), "s"))
	is.True(b.Spend(begun.Add(time.Hour), "s"))
}
