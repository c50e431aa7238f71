package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// candidate is one engine considered for a job.
type candidate struct {
	endpoint *endpoint.Endpoint
	state    *engineState
	// load is the load of all hosts on the engine.
	load Load
	// cached is the number of prompt tokens cached by the time the job starts.
	cached int
	// fetchable is the number of prompt tokens that other engines can fetch
	// from this one now.
	fetchable int
	// rate is the prefill rate in tokens per millisecond.
	rate  float64
	model *prefillModel
	// slowness is how long work takes on the engine by what it states, and slowdown by what
	// was observed besides, in times of what is usual.
	slowness, slowdown float64
	// waiting is the number of requests that wait there, as it states.
	waiting float64
	avoided bool
	// paceCost is the cost of a request of the rate that the engine states. connectCost is
	// that of a new connection.
	paceCost, connectCost time.Duration
}

// Plan selects the engines for a job; false means that none can execute it. The
// result minimizes the predicted time to the first event plus penalties.
func (t *Tracker) Plan(now time.Time, engines []*endpoint.Endpoint, job *Job, kv KVCache) (Plan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, engines, job, kv)
	var best Plan
	bestScore := time.Duration(0)
	found := false
	consider := func(p Plan, score time.Duration) {
		if !found || score < bestScore {
			best, bestScore, found = p, score, true
		}
	}
	source := longestPrefix(candidates)
	decode, decodeScore := t.bestDecode(candidates, job, kv)
	for i := range candidates {
		c := &candidates[i]
		prefillTokens, fetch, fetchTime := t.prefillWork(c, source, job, kv)
		prefillTime := t.prefillTime(c, job, prefillTokens) + fetchTime
		penalty := t.extraCost(c, prefillTokens, job)
		if fetch != "" {
			penalty += time.Duration(source.fetchable-c.cached) * t.costs.DisplacementCost
		}
		switch c.endpoint.Stage {
		case endpoint.StageDecode:
			p := Plan{Decode: c.endpoint, FetchFrom: fetch, FirstEvent: prefillTime, PrefillTokens: prefillTokens}
			consider(p, prefillTime+penalty+t.decodeInterference(c, prefillTokens)+memoryCost(c, job, kv))
		case endpoint.StagePrefill:
			if job.NoSplit || decode == nil || now.Before(c.state.noPrefillUntil) {
				continue
			}
			transfer := t.promptTransferTime(c, decode, job, kv)
			p := Plan{Prefill: c.endpoint, Decode: decode.endpoint, FetchFrom: fetch, FirstEvent: prefillTime + transfer, PrefillTokens: prefillTokens}
			consider(p, prefillTime+transfer+decodeScore+t.transferCost(c, decode)+penalty)
		case endpoint.StageNone:
		}
	}
	return best, found
}

// DecodeEngine selects the decode engine of a job whose prompt was prefilled at
// from; false means that there is none. It is called after the prefill, because
// engines join, leave and fill up in the meantime.
func (t *Tracker) DecodeEngine(now time.Time, engines []*endpoint.Endpoint, job *Job, kv KVCache, from *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, engines, job, kv)
	source := candidate{endpoint: from, state: t.engineState(from)}
	var best *candidate
	var bestScore time.Duration
	for i := range candidates {
		c := &candidates[i]
		if c.endpoint.Stage != endpoint.StageDecode {
			continue
		}
		score := t.decodeCost(c, job, kv) + t.promptTransferTime(&source, c, job, kv) + t.transferCost(&source, c)
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return nil, false
	}
	return best.endpoint, true
}

// candidates returns the engines that may execute the job. If all of them are
// to be avoided, none is marked as avoided. The caller holds mu.
func (t *Tracker) candidates(now time.Time, engines []*endpoint.Endpoint, job *Job, kv KVCache) []candidate {
	candidates := make([]candidate, 0, len(engines))
	usable := 0
	paced := t.pacedStages(now, engines)
	for _, e := range engines {
		if job.Exclude[e.ID] || e.Stage == endpoint.StageNone {
			continue
		}
		wait, limited := t.sendWait(now, e)
		if wait > 0 {
			continue
		}
		state := t.engineState(e)
		load := t.load(now, e.ID)
		cached, fetchable := state.cachedTokens(now, job.Segments, kv.retainedTokens(load.KVTokens))
		c := candidate{
			endpoint: e, state: state, load: load, cached: min(cached, job.PromptTokens), fetchable: min(fetchable, job.PromptTokens),
			model: t.prefills[e.Stage], rate: t.prefills[e.Stage].tokensPerMS(),
			slowness: t.slowness(now, e.Key()), waiting: t.waiting(now, e.Key()), slowdown: max(1, state.slowdownAt(now)),
			avoided: now.Before(state.avoidUntil) || t.changingStage(now, e.ID) || t.departs(now, e) ||
				t.heldByStart(now, e, paced[e.Stage]),
			paceCost: t.paceCost(now, e, limited),
		}
		if job.Connected != nil && !job.Connected(e) {
			c.connectCost = t.costs.ConnectCost
		}
		if !c.avoided {
			usable++
		}
		candidates = append(candidates, c)
	}
	if usable == 0 {
		for i := range candidates {
			candidates[i].avoided = false
		}
	}
	return candidates
}

// avoidCharge is the penalty for an engine that failed or refused a request
// recently, or is changing its stage.
const avoidCharge = 3 * time.Second

// extraCost returns the penalties of a prefill besides its time.
func (t *Tracker) extraCost(c *candidate, prefillTokens int, job *Job) time.Duration {
	total := c.paceCost + c.connectCost
	if c.avoided {
		total += avoidCharge
	}
	ownTokens := job.ownTokens()
	if recomputed := prefillTokens - ownTokens; recomputed > 0 {
		total += time.Duration(recomputed) * t.costs.RecomputeCost
	}
	return total
}

// ownTokens returns the tokens of the last segment, which no other request
// shares.
func (j *Job) ownTokens() int {
	shared := 0
	for i := 0; i+1 < len(j.Segments); i++ {
		shared += j.Segments[i].Tokens
	}
	return max(0, j.PromptTokens-shared)
}

// longestPrefix returns the engine from which the longest prefix of the prompt
// can be fetched, or nil.
func longestPrefix(candidates []candidate) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.fetchable > 0 && (best == nil || c.fetchable > best.fetchable) {
			best = c
		}
	}
	return best
}

// prefillWork returns the number of tokens that the engine must prefill, and
// the address and time of a fetch of cached segments if that is cheaper than
// prefilling them.
func (t *Tracker) prefillWork(c, source *candidate, job *Job, kv KVCache) (tokens int, fetch string, fetchTime time.Duration) {
	tokens = max(1, job.PromptTokens-c.cached)
	if source == nil || source == c || source.fetchable-c.cached < minFetchTokens || kv.LinkMbps <= 0 {
		return tokens, "", 0
	}
	fetched := source.fetchable - c.cached
	fetchTime = t.transferTime(source, c, fetched, kv) + t.fetchDelay
	saved := time.Duration(float64(fetched)/c.rate*float64(time.Millisecond)) + time.Duration(fetched)*t.costs.RecomputeCost
	if fetchTime >= saved {
		return tokens, "", 0
	}
	return max(1, job.PromptTokens-source.fetchable), source.endpoint.Address, fetchTime
}

// minFetchTokens is the minimum size of a fetch from another engine, in tokens;
// smaller ones are not worth the overhead.
const minFetchTokens = 64

// prefillTime predicts the time until the engine has prefilled the prompt,
// including the prefills queued before it.
func (t *Tracker) prefillTime(c *candidate, job *Job, prefillTokens int) time.Duration {
	linear := float64(c.load.PrefillTokens+prefillTokens) / c.rate
	quadratic := t.costs.Quadratic * float64(prefillTokens) * float64(job.PromptTokens-prefillTokens/2)
	took := time.Duration((c.model.overheadMS + linear + quadratic) * float64(time.Millisecond))
	return time.Duration(float64(took) * c.slowdown * c.slowness)
}

// bestDecode returns the decode engine with the lowest decode cost, and that
// cost; nil if there is none.
func (t *Tracker) bestDecode(candidates []candidate, job *Job, kv KVCache) (*candidate, time.Duration) {
	var best *candidate
	var bestScore time.Duration
	for i := range candidates {
		c := &candidates[i]
		if c.endpoint.Stage != endpoint.StageDecode {
			continue
		}
		score := t.decodeCost(c, job, kv)
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best, bestScore
}

// decodeCost returns the cost of generating an answer on the engine after
// another engine has prefilled the prompt.
func (t *Tracker) decodeCost(c *candidate, job *Job, kv KVCache) time.Duration {
	score := time.Duration(c.load.Streams) * t.costs.StreamCost
	// The engine's own prefills delay its decode steps.
	score += time.Duration(float64(c.load.PrefillTokens) / c.rate * queuedPrefillFraction * float64(time.Millisecond))
	score = time.Duration(float64(score+t.costs.PrefillOverhead)*c.slowdown*c.slowness) + c.paceCost + c.connectCost
	if c.avoided {
		score += avoidCharge
	}
	score += time.Duration(c.waiting * float64(waitingCost))
	return score + memoryCost(c, job, kv)
}

// decodeInterference returns the cost that a prefill on a decode engine imposes
// on its running streams and on the requests waiting for a batch slot.
func (t *Tracker) decodeInterference(c *candidate, prefillTokens int) time.Duration {
	ms := float64(prefillTokens) / c.rate * interferenceFactor
	return time.Duration(ms * float64(time.Millisecond))
}

// interferenceFactor scales the time of a prefill on a decode engine to the
// penalty for delaying other requests.
const interferenceFactor = 8.0

// memoryCost returns the penalty for an engine whose KV cache the job would fill:
// requests there wait until others end, or are preempted.
func memoryCost(c *candidate, job *Job, kv KVCache) time.Duration {
	if kv.Capacity <= 0 {
		return 0
	}
	full := float64(c.load.KVTokens+job.PromptTokens+job.OutputTokens) / float64(kv.Capacity)
	return time.Duration(max(0, full-memoryThreshold) * float64(memoryCharge))
}

const (
	// memoryThreshold is the fraction of an engine's KV cache that requests in
	// flight may occupy without a penalty; the rest is for shared segments.
	memoryThreshold = 0.7
	// memoryCharge is the penalty for exceeding the threshold by the engine's
	// whole KV cache: the time in which about that much is released.
	memoryCharge = 4 * time.Second
)

// queuedPrefillFraction is the fraction of an engine's queued prefill time that
// delays a new stream.
const queuedPrefillFraction = 0.3

// transferTime predicts the time to transfer the KV cache of tokens.
func (t *Tracker) transferTime(from, to *candidate, tokens int, kv KVCache) time.Duration {
	d := time.Duration(tokens) * kv.transferPerToken()
	if from.endpoint.Domain != to.endpoint.Domain {
		d = time.Duration(float64(d) * t.costs.CrossDomainFactor)
	}
	return d + t.costs.TransferOverhead
}

// promptTransferTime predicts the time to transfer those tokens of the prompt's
// KV cache that the destination lacks.
func (t *Tracker) promptTransferTime(from, to *candidate, job *Job, kv KVCache) time.Duration {
	return t.transferTime(from, to, max(0, job.PromptTokens-to.cached), kv)
}

// transferCost returns the penalty for a transfer.
func (t *Tracker) transferCost(from, to *candidate) time.Duration {
	if from.endpoint.Domain != to.endpoint.Domain {
		return t.costs.CrossDomainCost
	}
	return t.costs.TransferCost
}
