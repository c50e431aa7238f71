package gateway

import (
	"sync"
	"time"
)

// RetryBudget limits the retries to each service in a sliding window to ratio
// times the requests plus slack. Each host enforces its own share of the limit,
// so hosts need not coordinate. It is safe for concurrent use.
type RetryBudget struct {
	// ratio is the number of retries allowed per request.
	ratio  float64
	window time.Duration
	// slack returns this host's share of the retries that are always allowed.
	slack func() float64
	// start is the origin of the steps. Steps are counted on the monotonic
	// clock, so that changes of the wall clock do not affect them.
	start time.Time

	// mu guards windows.
	mu      sync.Mutex
	windows map[string]*budgetWindow
}

const (
	// windowSteps is the number of steps in a window. Counts leave the window
	// one step at a time.
	windowSteps = 20
	// retainedSteps is the number of steps that are retained: the window and
	// the one before it, whose requests count as well.
	retainedSteps = 2*windowSteps + 1
)

// budgetWindow is a ring of the counts of one service by step.
type budgetWindow struct {
	// step is the number of the current step.
	step     int64
	requests [retainedSteps]int
	retries  [retainedSteps]int
}

// NewRetryBudget returns a budget that starts at the given time. slack returns
// this host's current share of the slack.
func NewRetryBudget(start time.Time, ratio float64, window time.Duration, slack func() float64) *RetryBudget {
	return &RetryBudget{start: start, ratio: ratio, window: window, slack: slack, windows: make(map[string]*budgetWindow)}
}

// RecordRequest counts a caller's request to the service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	w.requests[w.step%retainedSteps]++
}

// TryRetry counts one retry. It returns false, and counts nothing, if the
// budget is exhausted.
func (b *RetryBudget) TryRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	slack := b.slack()
	retries := 1
	for age := range int64(windowSteps + 1) {
		retries += w.retries[w.slot(age)]
		if float64(retries) > b.ratio*float64(w.requestsFor(age))+slack {
			return false
		}
	}
	w.retries[w.step%retainedSteps]++
	return true
}

// requestsFor returns the number of requests that limits the retries since the
// step that is age steps old. It is the maximum over three windows: the one
// that begins in that step, the one before it, and the one half a window before
// it. Steps that lie only partly in such a window are not counted.
func (w *budgetWindow) requestsFor(age int64) int {
	return max(
		w.requestsBetween(0, age-1),
		w.requestsBetween(age+1, age+windowSteps-1),
		w.requestsBetween(max(0, age-windowSteps/2+1), age+windowSteps/2-1),
	)
}

// requestsBetween returns the number of requests in the steps whose ages are
// from newest to oldest.
func (w *budgetWindow) requestsBetween(newest, oldest int64) (sum int) {
	for age := newest; age <= min(oldest, retainedSteps-1); age++ {
		sum += w.requests[w.slot(age)]
	}
	return sum
}

// budgetUse is what one request has consumed of the retry budget of its service.
// All calls that reach an endpoint count, except the request's first one and its
// first prefill that is not rejected.
type budgetUse struct {
	// arrivals counts the calls that may have reached an endpoint.
	arrivals int
	// exempt is 1 once a prefill is exempt, before that 0.
	exempt int
	// charged is the number of retries consumed.
	charged int
}

// reserve consumes what the next call to an endpoint, or with split the next
// prefill and its generation, require of the budget. It returns false if the budget
// is exhausted; they must then not be sent. A reservation that is not used remains
// for the next call.
func (u *budgetUse) reserve(now time.Time, b *RetryBudget, service string, split bool) bool {
	required := u.arrivals - u.exempt
	if split {
		required = u.arrivals // one of the two calls is the first one, or exempt
	}
	for u.charged < required {
		if !b.TryRetry(now, service) {
			return false
		}
		u.charged++
	}
	return true
}

// slot returns the ring index of the step that is age steps old.
func (w *budgetWindow) slot(age int64) int64 {
	return ((w.step-age)%retainedSteps + retainedSteps) % retainedSteps
}

// advance returns the window of the service, moved forward to now. The caller
// holds b.mu.
func (b *RetryBudget) advance(now time.Time, service string) *budgetWindow {
	step := int64(now.Sub(b.start) / (b.window / windowSteps))
	w := b.windows[service]
	if w == nil {
		w = &budgetWindow{step: step}
		b.windows[service] = w
	}
	for w.step < step {
		if step-w.step > retainedSteps {
			*w = budgetWindow{step: step}
			break
		}
		w.step++
		w.requests[w.step%retainedSteps], w.retries[w.step%retainedSteps] = 0, 0
	}
	return w
}
