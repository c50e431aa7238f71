package route

import "time"

// Flight is one request at one endpoint, counted as the entry host's own work
// there until Done.
type Flight struct {
	Decision
	router *Router
	// endpoint and the fields below are guarded by router.mu.
	endpoint *endpoint
	work     Work
	done     bool
}

// Prefilled says that the prompt is done: call it at the first token. Calls
// after the first have no effect.
func (f *Flight) Prefilled() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.prefilled()
}

// gapWeight is the weight of a new observation in the smoothed time between
// tokens of an endpoint.
const gapWeight = 0.1

// Observe takes the mean time between some tokens of the flight.
func (f *Flight) Observe(now time.Time, gap time.Duration) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	g := &f.endpoint.gap
	if g.At.IsZero() {
		g.Mean = gap
	}
	g.Mean += time.Duration(gapWeight * float64(gap-g.Mean))
	g.At = now
	if c := f.router.set.Get(f.Endpoint); c != nil && f.router.known[f.Endpoint] == f.endpoint {
		c.Gap = *g
	}
}

// Done ends the flight. CachedTokens is the part of the prompt that the
// engine's cache served, or negative when it is not known. Calls after the
// first have no effect.
func (f *Flight) Done(cachedTokens int) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.prefilled()
	f.add(Work{Requests: -f.work.Requests, Pieces: -f.work.Pieces})
	if cachedTokens >= 0 && f.router.picker != nil {
		f.router.picker.Affinity.Outcome(f.Endpoint, f.PrefixTokens, cachedTokens)
	}
}

func (f *Flight) prefilled() {
	f.add(Work{PromptTokens: -f.work.PromptTokens})
	f.work.PromptTokens = 0
}

// add changes the own work of the endpoint, and of the candidate while it is
// the same record.
func (f *Flight) add(w Work) {
	own := &f.endpoint.own
	own.Requests += w.Requests
	own.PromptTokens += w.PromptTokens
	own.Pieces += w.Pieces
	if f.router.known[f.Endpoint] != f.endpoint {
		return
	}
	if c := f.router.set.Get(f.Endpoint); c != nil {
		c.Own = *own
	}
}
