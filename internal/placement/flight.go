package placement

import (
	"math"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
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
	// kvTokens is the KV cache size of prompt and output, in tokens.
	kvTokens int
	segments []Segment
	// decodes reports whether the engine generates the answer.
	decodes bool
	// idle reports whether the prefill began on an idle engine. fetches reports whether it
	// began with a fetch.
	idle, fetches bool
	prefillDone   bool
	// rated is set once the answer has been rated for the start of its engine.
	rated bool
}

// Begin adds the prefill of a plan to the load of the engine e, and the decode
// too if the plan does not split the prefill.
func (t *Tracker) Begin(now time.Time, e *endpoint.Endpoint, p *Plan, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	queued := t.load(now, e.ID)
	f := &Flight{
		tracker: t, engine: state, stage: e.Stage, startedAt: now,
		predicted: p.FirstEvent, prefillTokens: p.PrefillTokens, kvTokens: job.PromptTokens + job.OutputTokens, segments: job.Segments,
		decodes: p.Prefill == nil, idle: queued.PrefillTokens == 0, fetches: p.FetchFrom != "",
	}
	state.flights[f] = struct{}{}
	tokens := p.PrefillTokens
	if f.decodes {
		tokens += job.OutputTokens
	}
	t.recordDispatch(now, state, DispatchRecord{Engine: e.ID, Segments: job.SharedSegments(), ReadyIn: p.FirstEvent, Tokens: int64(tokens)})
	return f
}

// recordDispatch adds the segments and tokens of a dispatch to the tracked
// cache of an engine and retains the dispatch for peers. The caller holds mu.
func (t *Tracker) recordDispatch(now time.Time, state *engineState, d DispatchRecord) {
	t.arrived(now, d.Engine, true)
	t.countPrefill(state, d.Tokens)
	state.addedTokens += d.Tokens
	for _, h := range d.Segments {
		state.addSegment(now, now.Add(d.ReadyIn), h)
	}
	t.dispatches.Append(d)
}

// SharedSegments returns the hashes of the prompt's segments that other requests may
// share: all but the last.
func (j *Job) SharedSegments() []uint64 {
	if len(j.Segments) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(j.Segments)-1)
	for _, segment := range j.Segments[:len(j.Segments)-1] {
		out = append(out, segment.Hash)
	}
	return out
}

// BeginDecode adds a generation to the load of the decode engine e after
// another engine has prefilled the prompt.
func (t *Tracker) BeginDecode(now time.Time, e *endpoint.Endpoint, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	f := &Flight{tracker: t, engine: state, stage: e.Stage, startedAt: now, kvTokens: job.PromptTokens + job.OutputTokens, decodes: true, prefillDone: true}
	state.flights[f] = struct{}{}
	cached, _ := state.cachedTokens(now, job.Segments, 0)
	t.recordDispatch(now, state, DispatchRecord{Engine: e.ID, Segments: job.SharedSegments(), Tokens: int64(max(0, job.PromptTokens-cached) + job.OutputTokens)})
	return f
}

// load returns the remaining work of the flight. The caller holds the tracker's
// mu.
func (f *Flight) load(now time.Time) Load {
	l := Load{KVTokens: f.kvTokens}
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
	l.PrefillTokens = int(float64(f.prefillTokens) * max(remaining, overdueFraction))
	return l
}

// overdueFraction is the fraction of a prefill assumed to remain once its
// predicted time has passed.
const overdueFraction = 0.1

// PrefillDone records that the prefill has finished: the first event or the
// cache handle was received.
func (f *Flight) PrefillDone(now time.Time) {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	f.answered(now, pace.AnswerAfter(now.Sub(f.startedAt), f.predicted))
	if f.prefillDone {
		return
	}
	f.prefillDone = true
	f.engine.failures, f.engine.rejects, f.engine.avoidUntil = 0, 0, time.Time{}
	took := now.Sub(f.startedAt)
	if f.idle && !f.fetches {
		prompt := 0
		for _, segment := range f.segments {
			prompt += segment.Tokens
		}
		quadratic := t.costs.Quadratic * float64(f.prefillTokens) * float64(max(0, prompt-f.prefillTokens/2))
		model := t.prefills[f.stage]
		model.observe(float64(f.prefillTokens), max(0, milliseconds(took)-quadratic))
		t.observeContext(f.stage, model.msPerToken*float64(f.prefillTokens), quadratic)
	}
	if f.idle && f.fetches {
		t.fetchDelay = max(0, t.fetchDelay+time.Duration(fetchDelayWeight*float64(min(took-f.predicted, maxFetchDelay))))
	}
	if f.predicted > 0 {
		// What the engine states itself counts already, and ends when it says so.
		ratio := float64(took) / float64(f.predicted) / t.slowness(now, f.engine.key)
		f.engine.observeSlowdown(now, max(minSlowdown, min(maxSlowdown, ratio)))
	}
}

const (
	// slowdownWeight is the smoothing weight of the latest observation of an
	// engine's slowdown. minSlowdown and maxSlowdown bound one observation: quick answers
	// make up for slow ones.
	slowdownWeight = 0.08
	minSlowdown    = 0.6
	maxSlowdown    = 6
	// slowdownHalfLife is the time in which a slowdown halves that is not observed: an engine
	// that is avoided for it shows nothing else.
	slowdownHalfLife = 10 * time.Second
	// fetchDelayWeight is the smoothing weight of the latest observation of a fetch's delay,
	// and maxFetchDelay the bound of one.
	fetchDelayWeight = 0.05
	maxFetchDelay    = 100 * time.Millisecond
)

// observeSlowdown records a ratio of observed to predicted times.
func (s *engineState) observeSlowdown(now time.Time, ratio float64) {
	s.slowdown = s.slowdownAt(now)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.slowdownOf = now
}

// slowdownAt returns the smoothed ratio of observed to predicted times, nearer to 1 the older
// it is.
func (s *engineState) slowdownAt(now time.Time) float64 {
	return 1 + (s.slowdown-1)*math.Exp2(-float64(now.Sub(s.slowdownOf))/float64(slowdownHalfLife))
}

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
	f.answered(now, pace.Bad)
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
	f.answered(now, pace.Bad)
	f.engine.rejects++
	f.engine.avoidUntil = now.Add(min(rejectBackoff<<min(f.engine.rejects-1, rejectDoublings), rejectBackoffMax))
}

// CacheMissing records that a cache prefilled on the engine was missing when it
// was to be fetched. No prompt is prefilled there for a time that doubles with
// each consecutive miss.
func (t *Tracker) CacheMissing(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.engineState(e)
	state.misses++
	state.noPrefillUntil = now.Add(min(missBackoff<<min(state.misses-1, missDoublings), missBackoffMax))
}

// CacheFetched records that a cache prefilled on the engine was fetched.
func (t *Tracker) CacheFetched(e *endpoint.Endpoint) {
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

// SetStageChanges records engines that are changing their stage, with the
// remaining time of the change. They execute nothing until then.
func (t *Tracker) SetStageChanges(now time.Time, engines map[string]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, remaining := range engines {
		t.stageChanges[id] = now.Add(remaining)
	}
	for id, until := range t.stageChanges {
		if now.After(until) {
			delete(t.stageChanges, id)
		}
	}
}

// StageChanges returns the remaining time of each known stage change, by engine.
func (t *Tracker) StageChanges(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pending map[string]time.Duration
	for id, until := range t.stageChanges {
		remaining := until.Sub(now)
		if remaining <= 0 {
			continue
		}
		if pending == nil {
			pending = make(map[string]time.Duration)
		}
		pending[id] = remaining
	}
	return pending
}

// changingStage reports whether the engine is changing its stage. The caller
// holds mu.
func (t *Tracker) changingStage(now time.Time, id string) bool {
	return now.Before(t.stageChanges[id])
}

// StageChanged records that an engine has finished changing its stage.
func (t *Tracker) StageChanged(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stageChanges, id)
}
