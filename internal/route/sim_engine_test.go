package route

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/queue"
)

// Speed and capacity of a simulated engine, and the latency targets.
const (
	simStepTime         = 8 * time.Millisecond
	simStepPerStream    = 600 * time.Microsecond
	simPrefillPerToken  = 50 * time.Microsecond
	simChunkTokens      = 512
	simKVBlocks         = 80
	simCacheEntries     = 48
	simFirstTokenTarget = 460 * time.Millisecond
	simTokenGapTarget   = 48 * time.Millisecond
)

// simJob is one simulated request.
type simJob struct {
	Request
	workspace    string
	host         int
	outputTokens int
	arrivedAt    time.Duration
	flight       *Flight
	entry        *queue.Entry
	// remainingPrompt is the prompt work left to prefill, in tokens, or
	// negative until the engine has admitted the job.
	remainingPrompt int
	cachedTokens    int
	generated       int
	firstTokenAt    time.Duration
	lastTokenAt     time.Duration
}

// metTargets reports whether the job met its targets for the time to first token
// and the time between tokens.
func (j *simJob) metTargets() bool {
	if j.firstTokenAt == 0 || j.firstTokenAt-j.arrivedAt > simFirstTokenTarget {
		return false
	}
	return j.lastTokenAt-j.firstTokenAt <= time.Duration(max(1, j.generated-1))*simTokenGapTarget
}

// simEngine simulates continuous batching: each step decodes one token of every
// running generation and prefills one chunk of the waiting prompts.
type simEngine struct {
	name       string
	waiting    []*simJob
	running    []*simJob
	usedBlocks int64
	cache      []uint64
	busy       bool
	events     []backing.CacheEvent
	sequence   uint64
}

// enqueue inserts a job behind the waiting jobs of its or a higher priority.
func (e *simEngine) enqueue(j *simJob) {
	pos := len(e.waiting)
	for pos > 0 && e.waiting[pos-1].Priority < j.Priority {
		pos--
	}
	e.waiting = slices.Insert(e.waiting, pos, j)
	j.remainingPrompt = -1
}

// step runs one step. It returns the step's duration and the jobs whose prefill
// it completes.
func (e *simEngine) step() (d time.Duration, prefilled []*simJob) {
	d = simStepTime + time.Duration(len(e.running))*simStepPerStream
	chunk := simChunkTokens
	for chunk > 0 && len(e.waiting) > 0 {
		j := e.waiting[0]
		if j.remainingPrompt < 0 && !e.admit(j) {
			break
		}
		n := min(chunk, j.remainingPrompt)
		j.remainingPrompt -= n
		chunk -= n
		d += time.Duration(n) * simPrefillPerToken
		if j.remainingPrompt > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		prefilled = append(prefilled, j)
	}
	return d, prefilled
}

// admit reserves KV cache blocks for the job and looks up its prefix in the
// cache. It returns false if too few blocks are free.
func (e *simEngine) admit(j *simJob) bool {
	if len(e.running) > 0 && e.usedBlocks+j.kvBlocks() > simKVBlocks {
		return false
	}
	e.usedBlocks += j.kvBlocks()
	hits := 0
	for hits < len(j.Prefix) && slices.Contains(e.cache, j.Prefix[hits]) {
		hits++
	}
	j.cachedTokens = hits * backing.KVBlockTokens
	j.remainingPrompt = max(1, j.PromptTokens-j.cachedTokens)
	for _, h := range j.Prefix {
		e.touch(h)
	}
	return true
}

// touch makes a prefix the most recently used entry of the cache, and evicts the
// least recently used one if the cache is full.
func (e *simEngine) touch(h uint64) {
	if i := slices.Index(e.cache, h); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), h)
		return
	}
	e.recordEvent(h, false)
	e.cache = append(e.cache, h)
	if len(e.cache) > simCacheEntries {
		e.recordEvent(e.cache[0], true)
		e.cache = e.cache[1:]
	}
}

func (e *simEngine) recordEvent(h uint64, evicted bool) {
	e.sequence++
	e.events = append(e.events, backing.CacheEvent{Sequence: e.sequence, Prefix: h, Evicted: evicted})
}

// decode generates a token for each running job and returns the completed jobs.
func (e *simEngine) decode(now time.Duration, prefilled []*simJob) (completed []*simJob) {
	for _, j := range prefilled {
		j.firstTokenAt = now
		e.running = append(e.running, j)
	}
	e.running = slices.DeleteFunc(e.running, func(j *simJob) bool {
		j.generated++
		j.lastTokenAt = now
		if j.generated < j.outputTokens {
			return false
		}
		e.usedBlocks -= j.kvBlocks()
		completed = append(completed, j)
		return true
	})
	return completed
}

// report returns the engine's load report.
func (e *simEngine) report() LoadReport {
	r := LoadReport{
		Running: len(e.running), Waiting: len(e.waiting),
		FreeKVBlocks: int(max(0, simKVBlocks-e.usedBlocks)), TotalKVBlocks: simKVBlocks,
	}
	for _, j := range e.waiting {
		r.WaitingPromptTokens += int64(max(j.remainingPrompt, 0))
		if j.remainingPrompt < 0 {
			r.WaitingPromptTokens += int64(j.PromptTokens)
		}
	}
	return r
}
