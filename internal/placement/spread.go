package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Least returns the endpoint of a plain service with the least work for its
// slots, or nil. Endpoints that fail more of their requests are charged for it:
// a health answer tells little about one that fails some.
func (t *Tracker) Least(now time.Time, endpoints []*endpoint.Endpoint, exclude map[string]bool) *endpoint.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpoint.Endpoint
	bestScore, ties := 0.0, 0
	for _, e := range endpoints {
		if exclude[e.ID] {
			continue
		}
		score := t.callScore(now, e)
		switch {
		case best == nil || score < bestScore*(1-alike):
			best, bestScore, ties = e, score, 1
		case score <= bestScore*(1+alike):
			if ties++; rand.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// callScore is how busy an endpoint looks. The caller holds mu.
func (t *Tracker) callScore(now time.Time, e *endpoint.Endpoint) float64 {
	g := t.engine(e)
	score := (float64(t.load(now, e.ID).Streams) + 1) / float64(max(1, e.Slots)) * (1 + failureWeight*g.errorsAt(now))
	if now.Before(g.avoid) {
		score += avoidScore
	}
	return score
}

// errorsAt is the share of failed calls, as far as it is recent: an endpoint
// that gets no calls for its failures is tried again.
func (g *engine) errorsAt(now time.Time) float64 {
	return g.errors * math.Exp2(-float64(now.Sub(g.failed))/float64(errorHalfLife))
}

const (
	// failureWeight makes an endpoint that fails all of its requests look as
	// busy as one with this many times its work.
	failureWeight = 8
	// avoidScore puts endpoints that have just failed behind all others.
	avoidScore = 100
	// errorWeight is the weight of the latest outcome in an endpoint's share
	// of failed requests.
	errorWeight = 0.05
	// errorHalfLife is the time after its last failure in which the share of
	// an endpoint's failed calls counts half.
	errorHalfLife = 2 * time.Second
	// alike is the difference between scores that decides nothing.
	alike = 0.05
)

// BeginCall counts a request at an endpoint of a plain service.
func (t *Tracker) BeginCall(now time.Time, e *endpoint.Endpoint) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &Flight{tracker: t, engine: t.engine(e), begun: now, isRun: true, readDone: true}
	f.engine.jobs[f] = struct{}{}
	return f
}

// Outcome notes whether a call was served; call it before Done.
func (f *Flight) Outcome(now time.Time, served bool) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	failed := 0.0
	if served {
		f.engine.failures, f.engine.avoid = 0, time.Time{}
	} else {
		failed, f.engine.failed = 1, now
	}
	f.engine.errors += errorWeight * (failed - f.engine.errors)
}
