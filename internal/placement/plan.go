package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// view is one engine in one decision.
type view struct {
	e      *endpoint.Endpoint
	g      *engine
	load   Load
	cached int
	// fetchable is what other engines could take from it now.
	fetchable int
	rate      float64
	avoid     bool
}

// Plan chooses engines for a job; false means that none can take it. The plan
// is the one with the shortest predicted time to the first event, plus charges.
func (t *Tracker) Plan(now time.Time, engines []*endpoint.Endpoint, job *Job, m Memory) (Plan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := t.views(now, engines, job, m)
	var best Plan
	bestScore := time.Duration(0)
	found := false
	offer := func(p Plan, score time.Duration) {
		if !found || score < bestScore {
			best, bestScore, found = p, score, true
		}
	}
	source := longest(views)
	runner, runnerScore := t.runner(views, job, m)
	for i := range views {
		v := &views[i]
		read, fetch, fetchTime := t.read(v, source, job, m)
		reading := t.reading(v, job, read) + fetchTime
		switch v.e.Stage {
		case endpoint.StageDecode:
			p := Plan{Run: v.e, Fetch: fetch, FirstEvent: reading, Read: read}
			offer(p, reading+t.charge(v, read, job)+t.interference(v, read)+shortage(v, job, m))
		case endpoint.StagePrefill:
			if job.Whole || runner == nil || now.Before(v.g.noHandles) {
				continue
			}
			move := t.move(v, runner, job, m)
			p := Plan{Prefill: v.e, Run: runner.e, Fetch: fetch, FirstEvent: reading + move, Read: read}
			offer(p, reading+move+runnerScore+t.moveCharge(v, runner)+t.charge(v, read, job))
		case endpoint.StageNone:
		}
	}
	return best, found
}

// Runner chooses where an answer is generated whose prompt was read at from. It
// is asked once the prompt is read: until then engines come, leave and fill up.
func (t *Tracker) Runner(now time.Time, engines []*endpoint.Endpoint, job *Job, m Memory, from *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := t.views(now, engines, job, m)
	source := view{e: from, g: t.engine(from)}
	var best *view
	var bestScore time.Duration
	for i := range views {
		v := &views[i]
		if v.e.Stage != endpoint.StageDecode {
			continue
		}
		score := t.running(v, job, m) + t.move(&source, v, job, m) + t.moveCharge(&source, v)
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	if best == nil {
		return nil, false
	}
	return best.e, true
}

func (t *Tracker) views(now time.Time, engines []*endpoint.Endpoint, job *Job, m Memory) []view {
	views := make([]view, 0, len(engines))
	usable := 0
	for _, e := range engines {
		if job.Exclude[e.ID] || e.Stage == endpoint.StageNone {
			continue
		}
		g := t.engine(e)
		load := t.load(now, e.ID)
		queued, fetchable := g.cached(now, job.Parts, m.room(load.Memory))
		v := view{
			e: e, g: g, load: load, cached: min(queued, job.Prompt), fetchable: min(fetchable, job.Prompt),
			rate: t.rates[e.Stage].perMS, avoid: now.Before(g.avoid) || t.switching(now, e.ID),
		}
		if !v.avoid {
			usable++
		}
		views = append(views, v)
	}
	if usable == 0 {
		for i := range views {
			views[i].avoid = false
		}
	}
	return views
}

// avoidCharge keeps work off an engine that has just failed.
const avoidCharge = 3 * time.Second

// charge is what a reading costs beside its time.
func (t *Tracker) charge(v *view, read int, job *Job) time.Duration {
	c := time.Duration(0)
	if v.avoid {
		c += avoidCharge
	}
	own := job.own()
	if again := read - own; again > 0 {
		c += time.Duration(again) * t.costs.RereadCost
	}
	return c
}

// own is the tokens of the last part, which no other request shares.
func (j *Job) own() int {
	shared := 0
	for i := 0; i+1 < len(j.Parts); i++ {
		shared += j.Parts[i].Tokens
	}
	return max(0, j.Prompt-shared)
}

// longest is the engine that holds most of the prompt's start.
func longest(views []view) *view {
	var best *view
	for i := range views {
		v := &views[i]
		if v.fetchable > 0 && (best == nil || v.fetchable > best.fetchable) {
			best = v
		}
	}
	return best
}

// read is how many tokens the engine must prefill, and from where it may fetch
// parts that it lacks.
func (t *Tracker) read(v, source *view, job *Job, m Memory) (tokens int, fetch string, fetchTime time.Duration) {
	tokens = max(1, job.Prompt-v.cached)
	if source == nil || source == v || source.fetchable-v.cached < minFetch || m.LinkMbps <= 0 {
		return tokens, "", 0
	}
	moved := source.fetchable - v.cached
	fetchTime = t.moveTime(source, v, moved, m)
	saved := time.Duration(float64(moved)/v.rate*float64(time.Millisecond)) + time.Duration(moved)*t.costs.RereadCost
	if fetchTime >= saved {
		return tokens, "", 0
	}
	return max(1, job.Prompt-source.fetchable), source.e.Address, fetchTime
}

// minFetch is the least tokens that are worth a fetch from another engine.
const minFetch = 64

// reading is the predicted time until the engine has prefilled the prompt.
func (t *Tracker) reading(v *view, job *Job, read int) time.Duration {
	linear := float64(v.load.Tokens+read) / v.rate
	quadratic := t.costs.Quadratic * float64(read) * float64(job.Prompt-read/2)
	took := time.Duration((linear+quadratic)*float64(time.Millisecond)) + t.costs.Fixed
	return time.Duration(float64(took) * v.g.slow)
}

// runner is the decoding engine with the least to do.
func (t *Tracker) runner(views []view, job *Job, m Memory) (*view, time.Duration) {
	var best *view
	var bestScore time.Duration
	for i := range views {
		v := &views[i]
		if v.e.Stage != endpoint.StageDecode {
			continue
		}
		score := t.running(v, job, m)
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best, bestScore
}

// running is the cost of generating an answer at the engine whose prompt was
// read elsewhere.
func (t *Tracker) running(v *view, job *Job, m Memory) time.Duration {
	score := time.Duration(v.load.Streams) * t.costs.StreamCost
	// Prompts that the engine reads itself slow its steps.
	score += time.Duration(float64(v.load.Tokens) / v.rate * decodeShare * float64(time.Millisecond))
	score = time.Duration(float64(score+t.costs.Fixed) * v.g.slow)
	if v.avoid {
		score += avoidCharge
	}
	return score + shortage(v, job, m)
}

// interference is what a prompt read at a decoding engine costs its streams
// and those that wait for a place in its batch.
func (t *Tracker) interference(v *view, read int) time.Duration {
	ms := float64(read) / v.rate * interferenceShare
	return time.Duration(ms * float64(time.Millisecond))
}

// interferenceShare is the part of a reading at a decoding engine that is
// charged to the job beside its own wait.
const interferenceShare = 8.0

// shortage is charged for an engine whose memory the job would fill: requests
// wait there until others end, or are preempted.
func shortage(v *view, job *Job, m Memory) time.Duration {
	if m.Capacity <= 0 {
		return 0
	}
	full := float64(v.load.Memory+job.Prompt+job.Output) / float64(m.Capacity)
	return time.Duration(max(0, full-memoryShare) * float64(shortageCharge))
}

const (
	// memoryShare is the part of an engine's memory that requests in flight
	// may fill before it is charged for; the rest holds shared parts.
	memoryShare = 0.7
	// shortageCharge is the charge for a whole engine's memory beyond that: the
	// time in which about as much becomes free.
	shortageCharge = 4 * time.Second
)

// decodeShare is the part of an engine's own reading that a new stream feels.
const decodeShare = 0.3

func (t *Tracker) moveTime(from, to *view, tokens int, m Memory) time.Duration {
	d := time.Duration(tokens) * m.perToken()
	if from.e.Domain != to.e.Domain {
		d = time.Duration(float64(d) * t.costs.Crossing)
	}
	return d + t.costs.Handover
}

func (t *Tracker) move(from, to *view, job *Job, m Memory) time.Duration {
	return t.moveTime(from, to, max(0, job.Prompt-to.cached), m)
}

func (t *Tracker) moveCharge(from, to *view) time.Duration {
	if from.e.Domain != to.e.Domain {
		return t.costs.CrossingCost
	}
	return t.costs.MoveCost
}
