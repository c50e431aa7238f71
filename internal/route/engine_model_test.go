package route

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/queue"
)

// The speed and the size of a modelled engine.
const (
	modelStep       = 8 * time.Millisecond
	modelStream     = 600 * time.Microsecond
	modelPrefill    = 50 * time.Microsecond
	modelChunk      = 512
	modelPieces     = 80
	modelCache      = 48
	modelFirstToken = 460 * time.Millisecond
	modelBetween    = 48 * time.Millisecond
)

// job is one request in the model.
type job struct {
	Request
	workspace string
	host      int
	output    int
	arrived   time.Duration
	flight    *Flight
	entry     *queue.Entry
	// left is the prompt work to do, tokens the tokens given out.
	left   int
	cached int
	tokens int
	first  time.Duration
	last   time.Duration
}

// good says whether the caller was served in time.
func (j *job) good() bool {
	if j.first == 0 || j.first-j.arrived > modelFirstToken {
		return false
	}
	return j.last-j.first <= time.Duration(max(1, j.tokens-1))*modelBetween
}

// modelEngine batches continuously: each step gives one token to each running
// generation and prefills a chunk of the prompts that wait.
type modelEngine struct {
	name    string
	waiting []*job
	running []*job
	used    int64
	cache   []uint64
	busy    bool
	events  []backing.CacheEvent
	seq     uint64
}

// add queues a job behind those of its priority.
func (e *modelEngine) add(j *job) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < j.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, j)
	j.left = -1
}

// step does the work of one step and returns how long it takes; done are the
// jobs whose prompt it finishes.
func (e *modelEngine) step() (d time.Duration, done []*job) {
	d = modelStep + time.Duration(len(e.running))*modelStream
	chunk := modelChunk
	for chunk > 0 && len(e.waiting) > 0 {
		j := e.waiting[0]
		if j.left < 0 && !e.start(j) {
			break
		}
		n := min(chunk, j.left)
		j.left -= n
		chunk -= n
		d += time.Duration(n) * modelPrefill
		if j.left > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		done = append(done, j)
	}
	return d, done
}

// start takes memory for the job and looks its prefix up in the cache.
func (e *modelEngine) start(j *job) bool {
	if len(e.running) > 0 && e.used+j.pieces() > modelPieces {
		return false
	}
	e.used += j.pieces()
	hits := 0
	for hits < len(j.Prefix) && slices.Contains(e.cache, j.Prefix[hits]) {
		hits++
	}
	j.cached = hits * backing.PieceTokens
	j.left = max(1, j.PromptTokens-j.cached)
	for _, h := range j.Prefix {
		e.remember(h)
	}
	return true
}

// remember puts a prefix at the young end of the cache.
func (e *modelEngine) remember(h uint64) {
	if i := slices.Index(e.cache, h); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), h)
		return
	}
	e.event(h, false)
	e.cache = append(e.cache, h)
	if len(e.cache) > modelCache {
		e.event(e.cache[0], true)
		e.cache = e.cache[1:]
	}
}

func (e *modelEngine) event(h uint64, evicted bool) {
	e.seq++
	e.events = append(e.events, backing.CacheEvent{Sequence: e.seq, Prefix: h, Evicted: evicted})
}

// emit gives each running job a token at now and returns those that end.
func (e *modelEngine) emit(now time.Duration, done []*job) (ended []*job) {
	for _, j := range done {
		j.first = now
		e.running = append(e.running, j)
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		j.tokens++
		j.last = now
		if j.tokens < j.output {
			return false
		}
		e.used -= j.pieces()
		ended = append(ended, j)
		return true
	})
	return ended
}

// report is the engine's load.
func (e *modelEngine) report() Report {
	r := Report{
		Running: len(e.running), Waiting: len(e.waiting),
		FreePieces: int(max(0, modelPieces-e.used)), TotalPieces: modelPieces,
	}
	for _, j := range e.waiting {
		r.WaitingPromptTokens += int64(max(j.left, 0))
		if j.left < 0 {
			r.WaitingPromptTokens += int64(j.PromptTokens)
		}
	}
	return r
}
