package gateway

import (
	"maps"
	"time"

	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/termination"
)

// resumption decides whether a stream may leave its engine for another one. An attempt that
// has ended cannot be had back, so it is asked before. It shares nothing with the request
// that changes while an attempt runs, and may be used beside it.
type resumption struct {
	req *request
	// job is what is left to place: the engines that were tried are excluded.
	job placement.Job
	// within is the time in which the other engine must be predicted to send its first
	// event. Later, the stream is better off where it is.
	within time.Duration
	// lastSend is set if no send is left after the current one.
	lastSend bool
	tries    bool
}

// newResumption returns the decision for the attempt that the dispatch begins.
func (req *request) newResumption(dispatch *Dispatch, job *placement.Job, within time.Duration) *resumption {
	r := &resumption{req: req, job: *job, within: within, lastSend: req.sends+1 >= maxSends, tries: req.tries}
	r.job.Exclude = maps.Clone(req.excluded)
	r.job.Exclude[dispatch.Endpoint.ID] = true
	return r
}

// reserve reports whether the stream can go on at another engine now, and reserves the
// retry budget for it.
func (r *resumption) reserve() bool {
	now, opts := time.Now(), &r.req.gateway.opts
	if r.lastSend || opts.Termination.RefusalOfStep(now, r.req.work()) != termination.Admitted {
		return false
	}
	if !r.tries && opts.Suspects.Holds(r.req.service.Name, r.job.SharedSegments()) {
		return false
	}
	plan, ok := opts.Tracker.Plan(now, opts.Endpoints.Service(r.req.service.Name), &r.job, r.req.kvCache())
	if !ok || plan.FirstEvent > r.within {
		return false
	}
	return opts.Budget.TryRetry(now, r.req.service.Name)
}
