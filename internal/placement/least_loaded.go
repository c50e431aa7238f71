package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
)

// LeastLoaded returns the endpoint of a plain service with the least load per slot,
// or nil. An endpoint's score grows with its ratio of failed calls, because
// health checks may pass on an endpoint that fails only some of its requests. Of endpoints that
// are about equal one is preferred to which no connection must be opened; connected is nil if
// that is not known.
func (t *Tracker) LeastLoaded(now time.Time, endpoints []*endpoint.Endpoint, exclude map[string]bool, connected func(e *endpoint.Endpoint) bool) *endpoint.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpoint.Endpoint
	bestScore, ties := 0.0, 0
	paced := t.pacedStages(now, endpoints)
	for _, e := range endpoints {
		if wait, _ := t.sendWait(now, e); exclude[e.ID] || wait > 0 {
			continue
		}
		score := t.callScore(now, e)
		if t.heldByStart(now, e, paced[e.Stage]) {
			score += avoidScore
		}
		if connected != nil && !connected(e) {
			score *= 1 + connectMargin
		}
		switch {
		case best == nil || score < bestScore*(1-tieMargin):
			best, bestScore, ties = e, score, 1
		case score <= bestScore*(1+tieMargin):
			if ties++; rand.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// callScore returns the load score of an endpoint; lower is better. The caller
// holds mu.
func (t *Tracker) callScore(now time.Time, e *endpoint.Endpoint) float64 {
	state := t.engineState(e)
	requests := max(float64(t.load(now, e.ID).Streams), t.waiting(now, e.Key())) + 1
	score := requests / float64(max(1, e.Slots)) * (1 + failureWeight*state.failureRatioAt(now)) * t.slowness(now, e.Key())
	if now.Before(state.avoidUntil) || t.departs(now, e) {
		score += avoidScore
	}
	return score
}

// failureRatioAt returns the ratio of failed calls, decayed since the last
// failure, so that an endpoint that gets no calls because of its failures is
// tried again.
func (s *engineState) failureRatioAt(now time.Time) float64 {
	return s.failureRatio * math.Exp2(-float64(now.Sub(s.lastFailure))/float64(failureHalfLife))
}

const (
	// failureWeight scales the failure ratio in scores: an endpoint that fails
	// all requests scores as if it had this many times its load in addition.
	failureWeight = 8
	// avoidScore ranks recently failed endpoints behind all others.
	avoidScore = 100
	// failureRatioWeight is the smoothing weight of the latest outcome in the
	// failure ratio.
	failureRatioWeight = 0.05
	// failureHalfLife is the time after the last failure in which the failure
	// ratio halves.
	failureHalfLife = 2 * time.Second
	// tieMargin is the relative difference between scores that counts as a tie.
	tieMargin = 0.05
	// connectMargin is the relative difference up to which an endpoint is preferred that needs
	// no new connection. It is above tieMargin, so that equal ones are no tie.
	connectMargin = 0.1
)

// BeginCall adds a request to the load of an endpoint of a plain service.
func (t *Tracker) BeginCall(now time.Time, e *endpoint.Endpoint) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &Flight{tracker: t, engine: t.engineState(e), startedAt: now, decodes: true, prefillDone: true}
	f.engine.flights[f] = struct{}{}
	if t.counted(e) {
		t.recordDispatch(now, f.engine, DispatchRecord{Engine: e.ID})
	}
	return f
}

// Outcome records whether a call succeeded. It must be called before Done.
func (f *Flight) Outcome(now time.Time, served bool) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	failed := 0.0
	if served {
		f.answered(now, pace.Good)
		f.engine.failures, f.engine.avoidUntil = 0, time.Time{}
	} else {
		f.answered(now, pace.Bad)
		failed, f.engine.lastFailure = 1, now
	}
	f.engine.failureRatio += failureRatioWeight * (failed - f.engine.failureRatio)
}
