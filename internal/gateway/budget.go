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

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// budgetSteps is the number of steps of a window; counts leave it a step at a time.
const budgetSteps = 20

type budgetWindow struct {
	step     int64
	requests [budgetSteps + 1]int
	extras   [budgetSteps + 1]int
}

// NewBudget returns a budget; slack is this host's part at the moment.
func NewBudget(ratio float64, window time.Duration, slack func() float64) *Budget {
	return &Budget{ratio: ratio, window: window, slack: slack, services: make(map[string]*budgetWindow)}
}

// Request counts a caller's request for the service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.step%(budgetSteps+1)]++
}

// Spend counts one repeated send, or returns false when none is left.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	requests, extras := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		extras += w.extras[i]
	}
	if float64(extras+1) > b.ratio*float64(requests)+b.slack() {
		return false
	}
	w.extras[w.step%(budgetSteps+1)]++
	return true
}

func (b *Budget) at(now time.Time, service string) *budgetWindow {
	step := now.UnixNano() / int64(b.window/budgetSteps)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{step: step}
		b.services[service] = w
	}
	for w.step < step {
		if step-w.step > budgetSteps+1 {
			*w = budgetWindow{step: step}
			break
		}
		w.step++
		w.requests[w.step%(budgetSteps+1)], w.extras[w.step%(budgetSteps+1)] = 0, 0
	}
	return w
}
