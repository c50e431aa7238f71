package route

import "time"

// Flight is one request in flight at one endpoint. It counts as the entry host's
// own work there until Done.
type Flight struct {
	Decision
	router *Router
	// record and the fields below are guarded by router.mu.
	record *endpointRecord
	work   Work
	done   bool
}

// PrefillDone records that the prompt has been prefilled. It must be called at the
// first token; further calls have no effect.
func (f *Flight) PrefillDone() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.markPrefilled()
}

// gapWeight is the weight of a new observation in the moving average of the time
// between tokens.
const gapWeight = 0.1

// ObserveTokenGap records gap, the mean time between some of the request's tokens.
func (f *Flight) ObserveTokenGap(now time.Time, gap time.Duration) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	average := &f.record.gap
	if average.UpdatedAt.IsZero() {
		average.Mean = gap
	}
	average.Mean += time.Duration(gapWeight * float64(gap-average.Mean))
	average.UpdatedAt = now
	if c := f.router.set.Get(f.Endpoint); c != nil && f.router.records[f.Endpoint] == f.record {
		c.TokenGap = *average
	}
}

// Done ends the flight. cachedTokens is the number of prompt tokens served from
// the engine's KV cache, or negative if unknown. Further calls have no effect.
func (f *Flight) Done(cachedTokens int) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.markPrefilled()
	f.addWork(Work{Requests: -f.work.Requests, KVBlocks: -f.work.KVBlocks})
	if cachedTokens >= 0 && f.router.costPolicy != nil {
		f.router.costPolicy.PrefixCache.RecordOutcome(f.Endpoint, f.PrefixTokens, cachedTokens)
	}
}

func (f *Flight) markPrefilled() {
	f.addWork(Work{PromptTokens: -f.work.PromptTokens})
	f.work.PromptTokens = 0
}

// addWork adds w to the own work in the endpoint record, and in the candidate
// unless the endpoint has been removed or replaced since. f.router.mu is held.
func (f *Flight) addWork(w Work) {
	own := &f.record.own
	own.Requests += w.Requests
	own.PromptTokens += w.PromptTokens
	own.KVBlocks += w.KVBlocks
	if f.router.records[f.Endpoint] != f.record {
		return
	}
	if c := f.router.set.Get(f.Endpoint); c != nil {
		c.OwnWork = *own
	}
}
