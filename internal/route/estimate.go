package route

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// decodeHorizon bounds the output tokens over which a slow step is charged.
const decodeHorizon = 64

// estimate is the predicted cost of a request at one endpoint.
type estimate struct {
	// first is the predicted time to the first token.
	first time.Duration
	// score is first with penalties; lower is better.
	score time.Duration
}

// estimator predicts costs for one request.
type estimator struct {
	costs *Costs
	now   time.Time
	req   *Request
	set   *Set
	mean  Work
}

// at predicts the request's cost at c, where prefix tokens of its prompt are
// expected in the cache.
func (e *estimator) at(c *Candidate, prefix int) estimate {
	others := e.others(c)
	first := e.prefill(c, others, prefix) + e.set.Distance(e.req.Domain, c.Domain)
	own := first + e.decode(c, others)
	if e.req.Priority <= 0 {
		own = own/e.costs.Patience + e.interference(c, others, prefix)
	}
	return estimate{first: first, score: own + e.memory(c) + e.role(c)}
}

// interference is what the prompt of a request that can wait costs the streams
// at the endpoint: each of its chunks makes a step longer for all of them. It
// brings long prompts together, away from those who wait for each token.
func (e *estimator) interference(c *Candidate, others Work, prefix int) time.Duration {
	if e.req.Phase == PhaseDecode {
		return 0
	}
	streams := c.Own.Requests + others.Requests
	return time.Duration(max(0, e.req.PromptTokens-prefix)*streams) * e.costs.Interference
}

// others is the work of other entry hosts at c: the report, faded by its age
// towards the mean of all endpoints. An endpoint that has gone quiet looks
// average, neither idle nor busy.
func (e *estimator) others(c *Candidate) Work {
	if c.Report.At.IsZero() {
		return e.mean
	}
	half := float64(e.costs.ReportHalfLife)
	age := max(0, float64(e.now.Sub(c.Report.At)))
	weight := half / (half + age)
	w := c.Report.others()
	return Work{
		Requests:     blend(weight, w.Requests, e.mean.Requests),
		PromptTokens: blend(weight, w.PromptTokens, e.mean.PromptTokens),
	}
}

func blend[T int | int64](weight float64, a, b T) T {
	return T(weight*float64(a) + (1-weight)*float64(b))
}

// prefill is the time until the prompt is done: the work ahead and its own.
func (e *estimator) prefill(c *Candidate, others Work, prefix int) time.Duration {
	tokens := c.Own.PromptTokens + others.PromptTokens
	if e.req.Phase != PhaseDecode {
		tokens += int64(e.req.PromptTokens - prefix)
	}
	return time.Duration(tokens) * e.costs.PrefillPerToken
}

// decode charges the slower step of a fuller batch over the answer.
func (e *estimator) decode(c *Candidate, others Work) time.Duration {
	if e.req.Phase == PhasePrefill {
		return 0
	}
	streams := time.Duration(c.Own.Requests + others.Requests)
	added := streams * e.costs.StepPerStream
	limit := time.Duration(float64(e.costs.StepLimit) * e.costs.GapHeadroom)
	late := max(0, e.costs.Step+added-e.costs.StepLimit, e.gap(c)-limit)
	tokens := time.Duration(min(e.req.MaxTokens, decodeHorizon))
	return added + streams*e.costs.StreamCost + late*tokens
}

// gap is the time between tokens that streams at c see, as far as it is recent.
func (e *estimator) gap(c *Candidate) time.Duration {
	if c.Gap.At.IsZero() {
		return 0
	}
	half := float64(e.costs.GapHalfLife)
	age := max(0, float64(e.now.Sub(c.Gap.At)))
	return time.Duration(float64(c.Gap.Mean) * half / (half + age))
}

// memory charges the share of the needed pieces that are not free.
func (e *estimator) memory(c *Candidate) time.Duration {
	if c.Report.TotalPieces == 0 {
		return 0
	}
	need := e.req.pieces()
	if e.req.Priority <= 0 {
		need += int64(c.Report.TotalPieces / memoryReserveShare)
	}
	free := int64(c.Report.FreePieces) - (c.Own.Pieces - c.Report.Own.Pieces)
	short := need - max(0, free)
	if short <= 0 {
		return 0
	}
	return e.costs.MemoryPenalty * time.Duration(short) / time.Duration(need)
}

// memoryReserveShare is the part of an endpoint's memory, as a divisor, that
// requests without priority leave free.
const memoryReserveShare = 8

// role charges an endpoint whose role is not meant for the phase.
func (e *estimator) role(c *Candidate) time.Duration {
	switch {
	case c.Role == backing.RoleMixed || c.Role == "":
		return 0
	case e.req.Phase == PhasePrefill && c.Role == backing.RolePrefill:
		return 0
	case e.req.Phase == PhaseDecode && c.Role == backing.RoleDecode:
		return 0
	default:
		return e.costs.RolePenalty
	}
}
