package gateway

import (
	"sync"
	"time"
)

// Budget bounds repeated sends to each service in a sliding window: ratio times
// the requests for it plus slack. It is this host's part of the bound over all
// hosts, so that no host needs to ask another. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	window time.Duration
	slack  func() float64
	// begun is where steps are counted from: by the steady clock, which jumps of
	// the time of day do not touch.
	begun time.Time

	mu       sync.Mutex
	services map[string]*budgetWindow
}

const (
	// budgetSteps is the number of steps of a window; counts leave it a step at
	// a time.
	budgetSteps = 20
	// budgetKept is the number of steps that are kept: the window and the one
	// before it, whose requests count as well.
	budgetKept = 2*budgetSteps + 1
)

type budgetWindow struct {
	step     int64
	requests [budgetKept]int
	extras   [budgetKept]int
}

// NewBudget returns a budget that begins now; slack is this host's part at the moment.
func NewBudget(begun time.Time, ratio float64, window time.Duration, slack func() float64) *Budget {
	return &Budget{begun: begun, ratio: ratio, window: window, slack: slack, services: make(map[string]*budgetWindow)}
}

// Request counts a caller's request for the service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.step%budgetKept]++
}

// Spend counts one repeated send, or returns false when none is left.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	slack := b.slack()
	extras := 1
	for age := range int64(budgetSteps + 1) {
		extras += w.extras[w.index(age)]
		if float64(extras) > b.ratio*float64(w.requestsFor(age))+slack {
			return false
		}
	}
	w.extras[w.step%budgetKept]++
	return true
}

// requestsFor is the requests that the repeats since a step, which is age steps
// old, are measured by: those of the window that begins in that step, of the one
// before it, or of the one half a window before it, whichever has most. Steps
// that lie only partly in such a window are left out.
func (w *budgetWindow) requestsFor(age int64) int {
	return max(
		w.requestsBetween(0, age-1),
		w.requestsBetween(age+1, age+budgetSteps-1),
		w.requestsBetween(max(0, age-budgetSteps/2+1), age+budgetSteps/2-1),
	)
}

// requestsBetween is the requests of the steps that are newest to oldest steps old.
func (w *budgetWindow) requestsBetween(newest, oldest int64) (sum int) {
	for age := newest; age <= min(oldest, budgetKept-1); age++ {
		sum += w.requests[w.index(age)]
	}
	return sum
}

func (w *budgetWindow) index(age int64) int64 {
	return ((w.step-age)%budgetKept + budgetKept) % budgetKept
}

func (b *Budget) at(now time.Time, service string) *budgetWindow {
	step := int64(now.Sub(b.begun) / (b.window / budgetSteps))
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{step: step}
		b.services[service] = w
	}
	for w.step < step {
		if step-w.step > budgetKept {
			*w = budgetWindow{step: step}
			break
		}
		w.step++
		w.requests[w.step%budgetKept], w.extras[w.step%budgetKept] = 0, 0
	}
	return w
}
