package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
)

const (
	// maxStarts bounds the endpoints that are tracked as having just started.
	maxStarts = 4096
	// startSkew is by how much hosts may see the same start at different times.
	startSkew = 2 * time.Second
	// maxStartedShare is the share of the endpoints that may have just started while the
	// others take what these are not given. Above it the others would be flooded instead.
	maxStartedShare = 0.34
	// doubtTime is the time within which an endpoint that gave no answer to two requests is
	// taken to have ended. One that is lost on the way says little.
	doubtTime = time.Second
	// recoveredFailures is the number of consecutive failures after which an endpoint that
	// answers again is taken to have recovered.
	recoveredFailures = 2
)

// endpointStart is an endpoint that has just started or recovered.
type endpointStart struct {
	startedAtMS int64
	pace        *pace.Start
}

// Started records that an endpoint has just started, or changed its stage: it gets requests at
// the pace at which it answers.
func (t *Tracker) Started(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start(now, e.Key(), now)
}

// start begins the start of an incarnation at a time, unless it is known. The caller holds mu.
func (t *Tracker) start(now time.Time, key endpoint.Key, began time.Time) {
	known, ok := t.starts[key.ID]
	switch {
	case ok && (known.startedAtMS > key.StartedAtMS || known.startedAtMS == key.StartedAtMS && began.Sub(known.pace.Began()) < startSkew):
		return
	case !ok && len(t.starts) >= maxStarts:
		t.dropStarts(now)
		if len(t.starts) >= maxStarts {
			return
		}
	}
	t.starts[key.ID] = endpointStart{key.StartedAtMS, pace.NewStart(key.ID, began)}
}

// dropStarts drops those that are over. The caller holds mu.
func (t *Tracker) dropStarts(now time.Time) {
	for id, s := range t.starts {
		if s.pace.Over(now) {
			delete(t.starts, id)
		}
	}
}

// startOf returns the pace of an incarnation that has just started; nil for any other. The
// caller holds mu.
func (t *Tracker) startOf(now time.Time, key endpoint.Key) *pace.Start {
	s, ok := t.starts[key.ID]
	if !ok || s.startedAtMS != key.StartedAtMS || s.pace.Over(now) {
		return nil
	}
	return s.pace
}

// heldByStart reports whether an endpoint has just started and gets no request from this host
// now. What a cold endpoint states goes first. paced reports whether enough others have run for
// long; one that gives bad answers only is held back in any case. The caller holds mu.
func (t *Tracker) heldByStart(now time.Time, e *endpoint.Endpoint, paced bool) bool {
	s := t.startOf(now, e.Key())
	if s == nil || !paced && !s.Mute(now) {
		return false
	}
	if _, cold := t.isCold(now, e); cold {
		return false
	}
	return s.Wait(now, t.fleet.self, t.fleet.recent, t.fleet.inTouch) > 0
}

// pacedStages returns the stages of which enough endpoints have run for long to take what those
// that have just started leave. The caller holds mu.
func (t *Tracker) pacedStages(now time.Time, endpoints []*endpoint.Endpoint) [endpoint.StageDecode + 1]bool {
	var paced [endpoint.StageDecode + 1]bool
	if len(t.starts) == 0 {
		return paced
	}
	var all, started [endpoint.StageDecode + 1]int
	for _, e := range endpoints {
		all[e.Stage]++
		if t.startOf(now, e.Key()) != nil {
			started[e.Stage]++
		}
	}
	for stage := range paced {
		paced[stage] = float64(started[stage]) <= maxStartedShare*float64(all[stage])
	}
	return paced
}

// sharedBy returns this host's share in an endpoint that all hosts send to by parts. The
// caller holds mu.
func (t *Tracker) sharedBy(e *endpoint.Endpoint) pace.Share {
	return pace.Share{Sharers: len(t.fleet.recent), Rank: pace.Rank(e.ID, t.fleet.self, t.fleet.recent), InTouch: t.fleet.inTouch}
}

// Unreachable ends the flight after the engine gave no answer at all: it may have ended, and all
// hosts would find out at their next request unless they are told. Once it has happened twice
// within doubtTime, at any hosts, they send to it at the pace at which it answers from then on. A
// host that is cut off itself tells them the same; the good answers of the others outweigh it.
func (f *Flight) Unreachable(now time.Time) {
	t := f.tracker
	t.mu.Lock()
	t.doubt(now, f.engine.key)
	if t.startOf(now, f.engine.key) == nil {
		t.dispatches.Append(DispatchRecord{Engine: f.engine.key.ID, Answer: pace.Bad})
	}
	t.mu.Unlock()
	f.Failed(now)
}

// doubt records that an incarnation gave no answer to some host. The caller holds mu.
func (t *Tracker) doubt(now time.Time, key endpoint.Key) {
	last, ok := t.doubts[key.ID]
	if !ok && len(t.doubts) >= maxStarts {
		clear(t.doubts)
	}
	t.doubts[key.ID] = now
	if ok && now.Sub(last) < doubtTime {
		t.start(now, key, now)
	}
}

// answered counts an answer of an endpoint that has just started, and tells peers of it. The
// caller holds the tracker's mu.
func (f *Flight) answered(now time.Time, a pace.Answer) {
	t := f.tracker
	if a == pace.Good && f.engine.failures >= recoveredFailures {
		t.start(now, f.engine.key, now)
	}
	if a == pace.Good {
		delete(t.doubts, f.engine.key.ID)
	}
	s := t.startOf(now, f.engine.key)
	if s == nil || f.rated {
		return
	}
	f.rated = true
	s.Answered(now, a)
	if a != pace.Fair {
		t.dispatches.Append(DispatchRecord{Engine: f.engine.key.ID, Answer: a})
	}
}

// peerAnswered counts an answer that another host got. The caller holds mu.
func (t *Tracker) peerAnswered(now time.Time, id string, a pace.Answer) {
	if s, ok := t.starts[id]; ok && !s.pace.Over(now) {
		s.pace.Answered(now, a)
		return
	}
	if state := t.engines[id]; state != nil && a == pace.Bad {
		t.doubt(now, state.key)
	}
}

// Starts returns the endpoints that have just started and when, by ID.
func (t *Tracker) Starts(now time.Time) map[string]endpoint.Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropStarts(now)
	if len(t.starts) == 0 {
		return nil
	}
	out := make(map[string]endpoint.Start, len(t.starts))
	for id, s := range t.starts {
		out[id] = endpoint.Start{StartedAtMS: s.startedAtMS, At: s.pace.Began()}
	}
	return out
}

// AddStarts applies what a peer reports of endpoints that have just started, by ID.
func (t *Tracker) AddStarts(now time.Time, starts map[string]endpoint.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range starts {
		t.start(now, endpoint.Key{ID: id, StartedAtMS: s.StartedAtMS}, s.At)
	}
}
