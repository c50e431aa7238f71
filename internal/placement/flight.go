package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Flight is the work of one request on one engine. It counts toward the
// engine's load until Done, Failed or Rejected.
type Flight struct {
	tracker   *Tracker
	engine    *engineState
	stage     endpoint.Stage
	startedAt time.Time
	// predicted is the predicted prefill time; zero if the engine prefills
	// nothing.
	predicted time.Duration
	// prefillTokens is the number of prompt tokens to prefill.
	prefillTokens int
	// kvTokens is the KV cache of prompt and output, in tokens.
	kvTokens int
	segments []Part
	// decodes reports whether the engine generates the answer.
	decodes bool
	// rateSample reports whether the prefill began on an idle engine and
	// without a fetch, so that its duration measures the prefill rate.
	rateSample  bool
	prefillDone bool
}

// Begin adds the prefill of a plan to the load of the engine e.
func (t *Tracker) Begin(now time.Time, e *endpoint.Endpoint, p *Plan, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	queued := t.load(now, e.ID)
	f := &Flight{
		tracker: t, engine: state, stage: e.Stage, startedAt: now,
		predicted: p.FirstEvent, prefillTokens: p.Read, kvTokens: job.Prompt + job.Output, segments: job.Parts,
		decodes: p.Prefill == nil, rateSample: queued.Tokens == 0 && p.Fetch == "",
	}
	state.flights[f] = struct{}{}
	tokens := p.Read
	if f.decodes {
		tokens += job.Output
	}
	t.recordDispatch(now, state, Placed{Engine: e.ID, Parts: job.sharedSegmentHashes(), ReadIn: p.FirstEvent, Tokens: int64(tokens)})
	return f
}

// recordDispatch adds the segments and tokens of a dispatch to the tracked
// cache of an engine and retains the dispatch for peers. The caller holds mu.
func (t *Tracker) recordDispatch(now time.Time, state *engineState, p Placed) {
	state.addedTokens += p.Tokens
	for _, h := range p.Parts {
		state.addSegment(now, now.Add(p.ReadIn), h)
	}
	t.appendDispatch(p)
}

// maxDispatches bounds the dispatches retained for peers; it covers a few
// seconds.
const maxDispatches = 256

// appendDispatch retains a dispatch for peers. The caller holds mu.
func (t *Tracker) appendDispatch(p Placed) {
	if len(t.dispatches) == maxDispatches {
		dropped := maxDispatches / 2
		t.dispatches = append(t.dispatches[:0], t.dispatches[dropped:]...)
		t.firstDispatch += int64(dropped)
	}
	t.dispatches = append(t.dispatches, p)
}

func (j *Job) sharedSegmentHashes() []uint64 {
	if len(j.Parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(j.Parts)-1)
	for _, p := range j.Parts[:len(j.Parts)-1] {
		out = append(out, p.Hash)
	}
	return out
}

// BeginRun adds a generation to the load of the decode engine e after another
// engine has prefilled the prompt.
func (t *Tracker) BeginRun(now time.Time, e *endpoint.Endpoint, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	f := &Flight{tracker: t, engine: state, stage: e.Stage, startedAt: now, kvTokens: job.Prompt + job.Output, decodes: true, prefillDone: true}
	state.flights[f] = struct{}{}
	cached, _ := state.cachedTokens(now, job.Parts, 0)
	t.recordDispatch(now, state, Placed{Engine: e.ID, Parts: job.sharedSegmentHashes(), Tokens: int64(max(0, job.Prompt-cached) + job.Output)})
	return f
}

// load returns the remaining work of the flight. The caller holds the tracker's
// mu.
func (f *Flight) load(now time.Time) Load {
	l := Load{Memory: f.kvTokens}
	if f.decodes {
		l.Streams = 1
	}
	if f.prefillDone {
		return l
	}
	remaining := 1.0
	if f.predicted > 0 {
		remaining -= float64(now.Sub(f.startedAt)) / float64(f.predicted)
	}
	l.Tokens = int(float64(f.prefillTokens) * max(remaining, overdueFraction))
	return l
}

// overdueFraction is the fraction of a prefill assumed to remain once its
// predicted time has passed.
const overdueFraction = 0.1

// Read records that the prefill has finished: the first event or the cache
// handle was received.
func (f *Flight) Read(now time.Time) {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.prefillDone {
		return
	}
	f.prefillDone = true
	f.engine.failures, f.engine.rejects, f.engine.avoidUntil = 0, 0, time.Time{}
	took := now.Sub(f.startedAt)
	if f.rateSample && f.prefillTokens >= minSampleTokens {
		prompt := 0
		for _, p := range f.segments {
			prompt += p.Tokens
		}
		quadratic := t.costs.Quadratic * float64(f.prefillTokens) * float64(max(0, prompt-f.prefillTokens/2))
		ms := float64(took-t.costs.Fixed)/float64(time.Millisecond) - quadratic
		if ms > 1 {
			t.rates[f.stage].observe(float64(f.prefillTokens) / ms)
		}
	}
	if f.predicted > 0 {
		ratio := max(1, min(maxSlowdown, float64(took)/float64(f.predicted)))
		f.engine.slowdown += slowdownWeight * (ratio - f.engine.slowdown)
	}
}

const (
	// slowdownWeight is the smoothing weight of the latest observation of an
	// engine's slowdown, maxSlowdown the upper bound of one observation.
	slowdownWeight = 0.08
	maxSlowdown    = 6
)

// Done ends the flight and removes it from the engine's load.
func (f *Flight) Done() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.flights, f)
}

// Failed ends the flight after the engine failed. The engine is avoided for a
// time that doubles with each consecutive failure.
func (f *Flight) Failed(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.flights, f)
	f.engine.failures++
	pause := min(failureBackoff<<min(f.engine.failures-1, failureDoublings), failureBackoffMax)
	f.engine.avoidUntil = now.Add(pause)
}

const (
	// failureBackoff is how long an engine is avoided after one failure,
	// doubled with each consecutive one up to failureBackoffMax: recovery from
	// a crash takes seconds.
	failureBackoff    = 250 * time.Millisecond
	failureDoublings  = 4
	failureBackoffMax = 3 * time.Second
)

// Rejected ends the flight after the engine refused the request. The engine is
// avoided for a while, since an engine that is full or changing its stage
// refuses the next request too.
func (f *Flight) Rejected(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.flights, f)
	f.engine.rejects++
	f.engine.avoidUntil = now.Add(min(rejectBackoff<<min(f.engine.rejects-1, rejectDoublings), rejectBackoffMax))
}

// Lapsed records that a cache prefilled on the engine was missing when it was
// to be fetched. No prompt is prefilled there for a time that doubles with each
// consecutive miss.
func (t *Tracker) Lapsed(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	state.misses++
	state.noPrefillUntil = now.Add(min(missBackoff<<min(state.misses-1, missDoublings), missBackoffMax))
}

// Taken records that a cache prefilled on the engine was fetched.
func (t *Tracker) Taken(e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	state.misses, state.noPrefillUntil = 0, time.Time{}
}

const (
	// rejectBackoff is how long an engine is avoided after one rejection,
	// doubled with each consecutive one up to rejectBackoffMax: a full engine
	// has capacity again within a few steps, one that changes its stage within
	// seconds.
	rejectBackoff    = 60 * time.Millisecond
	rejectDoublings  = 4
	rejectBackoffMax = time.Second
	// missBackoff is how long no prompt is prefilled on an engine after one
	// missing cache, doubled with each consecutive one up to missBackoffMax.
	missBackoff    = 300 * time.Millisecond
	missDoublings  = 3
	missBackoffMax = 2 * time.Second
)

// Switching records engines that are changing their stage, with the remaining
// time of the change. They execute nothing until then.
func (t *Tracker) Switching(now time.Time, engines map[string]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, left := range engines {
		t.stageChanges[id] = now.Add(left)
	}
	for id, until := range t.stageChanges {
		if now.After(until) {
			delete(t.stageChanges, id)
		}
	}
}

// changingStage reports whether the engine is changing its stage. The caller
// holds mu.
func (t *Tracker) changingStage(now time.Time, id string) bool {
	return now.Before(t.stageChanges[id])
}

// Switched records that an engine has finished changing its stage.
func (t *Tracker) Switched(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stageChanges, id)
}
