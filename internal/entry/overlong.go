package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Codes of answers that were cut because the endpoint sent too much.
const (
	codeAnswersFull   = "answers_full"
	codeAnswerTooLong = "answer_too_long"
)

// overlongAvoidTime is how long an endpoint that sent too much gets no requests that
// others can take.
const overlongAvoidTime = 10 * time.Second

// overlongEndpoints holds the endpoints that sent too much a short time ago. They are
// avoided and not left out, since an answer may be long because of its request. The zero
// value is empty. It is safe for concurrent use.
type overlongEndpoints struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add adds the endpoint and reports whether it is new.
func (o *overlongEndpoints) add(now time.Time, endpoint string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = make(map[string]time.Time)
	}
	known := now.Before(o.until[endpoint])
	o.until[endpoint] = now.Add(overlongAvoidTime)
	return !known
}

// exclude returns the excluded endpoints and those to avoid, and whether there are any of
// the latter.
func (o *overlongEndpoints) exclude(now time.Time, excluded map[string]struct{}) (map[string]struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(o.until) == 0 {
		return excluded, false
	}
	all := maps.Clone(excluded)
	if all == nil {
		all = make(map[string]struct{}, len(o.until))
	}
	for endpoint := range o.until {
		all[endpoint] = struct{}{}
	}
	return all, len(all) > len(excluded)
}

// noteFailure notes that an attempt at the endpoint failed. A nil err has no effect.
func (s *Server) noteFailure(endpoint string, err error) {
	if err == nil {
		return
	}
	code := verdict.As(err).Code
	if code != codeAnswersFull && code != codeAnswerTooLong {
		return
	}
	if s.overlong.add(time.Now(), endpoint) && s.opts.Log != nil {
		s.opts.Log.Warn("endpoint sent too much", observe.FieldEndpoint, endpoint, "code", code)
	}
}

// avoiding returns the request without the endpoints that sent too much a short time ago,
// and whether there are any.
func (s *Server) avoiding(now time.Time, r *route.Request) (*route.Request, bool) {
	all, found := s.overlong.exclude(now, r.Exclude)
	if !found {
		return r, false
	}
	others := *r
	others.Exclude = all
	return &others, true
}

// pick chooses an endpoint for the request, one that sent too much a short time ago only
// if there is no other.
func (s *Server) pick(r *route.Request) (*route.Flight, error) {
	now := time.Now()
	if others, found := s.avoiding(now, r); found {
		if flight, err := s.opts.Router.Pick(now, others); err == nil {
			s.stats.Avoided.Add(1)
			return flight, nil
		}
	}
	return s.opts.Router.Pick(now, r)
}
