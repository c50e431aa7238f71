package route

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// decodeHorizon bounds the output tokens over which a slow decode step is charged.
const decodeHorizon = 64

// estimate is the predicted cost of a request at one endpoint.
type estimate struct {
	// firstToken is the predicted time to first token.
	firstToken time.Duration
	// score is the predicted cost including penalties; lower is better.
	score time.Duration
}

// estimator predicts the cost of one request.
type estimator struct {
	costModel *CostModel
	now       time.Time
	req       *Request
	set       *Set
	meanWork  Work
}

// estimateFor predicts the request's cost at c if prefix tokens of its prompt
// are cached there.
func (e *estimator) estimateFor(c *Candidate, prefix int) estimate {
	others := e.otherHostsWork(c)
	firstToken := e.prefill(c, others, prefix) + e.set.Distance(e.req.Domain, c.Domain)
	cost := firstToken + e.decode(c, others)
	if e.req.Priority <= 0 {
		cost = cost/e.costModel.LowPriorityDivisor + e.interference(c, others, prefix)
	}
	return estimate{firstToken: firstToken, score: cost + e.memory(c) + e.role(c)}
}

// interference is the cost that the prompt of a request without priority adds to
// the streams at the endpoint, because each prefill chunk lengthens the decode
// step of all of them. It concentrates long prompts on endpoints with few
// latency-sensitive streams.
func (e *estimator) interference(c *Candidate, others Work, prefix int) time.Duration {
	if e.req.Phase == PhaseDecode {
		return 0
	}
	streams := c.OwnWork.Requests + others.Requests
	return time.Duration(max(0, e.req.PromptTokens-prefix)*streams) * e.costModel.InterferencePerToken
}

// otherHostsWork returns the work of other entry hosts at c: the load report,
// decayed with its age towards the mean of all endpoints. An endpoint without
// recent reports is thus assumed to carry average load, neither idle nor busy.
func (e *estimator) otherHostsWork(c *Candidate) Work {
	if c.Report.MeasuredAt.IsZero() {
		return e.meanWork
	}
	halfLife := float64(e.costModel.ReportHalfLife)
	age := max(0, float64(e.now.Sub(c.Report.MeasuredAt)))
	weight := halfLife / (halfLife + age)
	w := c.Report.otherHostsWork()
	return Work{
		Requests:     weightedMean(weight, w.Requests, e.meanWork.Requests),
		PromptTokens: weightedMean(weight, w.PromptTokens, e.meanWork.PromptTokens),
	}
}

func weightedMean[T int | int64](weight float64, a, b T) T {
	return T(weight*float64(a) + (1-weight)*float64(b))
}

// prefill returns the time to prefill the work ahead of the request and its own
// prompt.
func (e *estimator) prefill(c *Candidate, others Work, prefix int) time.Duration {
	tokens := c.OwnWork.PromptTokens + others.PromptTokens
	if e.req.Phase != PhaseDecode {
		tokens += int64(e.req.PromptTokens - prefix)
	}
	return time.Duration(tokens) * e.costModel.PrefillPerToken
}

// decode returns the cost of the longer decode step of a larger batch, over the
// output up to decodeHorizon tokens.
func (e *estimator) decode(c *Candidate, others Work) time.Duration {
	if e.req.Phase == PhasePrefill {
		return 0
	}
	streams := time.Duration(c.OwnWork.Requests + others.Requests)
	slowdown := streams * e.costModel.StepPerStream
	limit := time.Duration(float64(e.costModel.TokenGapLimit) * e.costModel.GapHeadroom)
	excess := max(0, e.costModel.StepTime+slowdown-e.costModel.TokenGapLimit, e.gap(c)-limit)
	tokens := time.Duration(min(e.req.MaxTokens, decodeHorizon))
	return slowdown + streams*e.costModel.StreamCost + excess*tokens
}

// gap returns the time between tokens observed at c, decayed by its age.
func (e *estimator) gap(c *Candidate) time.Duration {
	if c.TokenGap.UpdatedAt.IsZero() {
		return 0
	}
	halfLife := float64(e.costModel.GapHalfLife)
	age := max(0, float64(e.now.Sub(c.TokenGap.UpdatedAt)))
	return time.Duration(float64(c.TokenGap.Mean) * halfLife / (halfLife + age))
}

// memory returns MemoryPenalty scaled by the fraction of the needed KV cache
// blocks that are not free.
func (e *estimator) memory(c *Candidate) time.Duration {
	if c.Report.TotalKVBlocks == 0 {
		return 0
	}
	neededBlocks := e.req.kvBlocks()
	if e.req.Priority <= 0 {
		neededBlocks += int64(c.Report.TotalKVBlocks / memoryReserveDivisor)
	}
	freeBlocks := int64(c.Report.FreeKVBlocks) - (c.OwnWork.KVBlocks - c.Report.OwnWork.KVBlocks)
	missing := neededBlocks - max(0, freeBlocks)
	if missing <= 0 {
		return 0
	}
	return e.costModel.MemoryPenalty * time.Duration(missing) / time.Duration(neededBlocks)
}

// memoryReserveDivisor is the divisor of an endpoint's KV cache capacity that
// gives the reserve which requests without priority leave free.
const memoryReserveDivisor = 8

// role returns the penalty for an endpoint whose role does not match the phase.
func (e *estimator) role(c *Candidate) time.Duration {
	switch {
	case c.Role == backing.RoleMixed || c.Role == "":
		return 0
	case e.req.Phase == PhasePrefill && c.Role == backing.RolePrefill:
		return 0
	case e.req.Phase == PhaseDecode && c.Role == backing.RoleDecode:
		return 0
	default:
		return e.costModel.RolePenalty
	}
}
