package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// chunk is how many prompt tokens one step prefills by role, when sequences
// decode beside it and when none does.
var chunk = map[backing.Role]struct{ busy, alone int }{
	backing.RoleMixed:   {busy: 256, alone: 2_048},
	backing.RolePrefill: {busy: 4_096, alone: 4_096},
	backing.RoleDecode:  {busy: 64, alone: 512},
}

// hungStep is how often a hung engine looks whether it may go on.
const hungStep = 50 * time.Millisecond

// startLoop starts the step loop if it does not run. Called with mu held.
func (e *Engine) startLoop() {
	if !e.looping {
		e.looping = true
		go e.loop(e.life)
	}
}

// loop steps the batch until there is no work or the engine crashes.
func (e *Engine) loop(life chan struct{}) {
	for {
		d, ok := e.plan(life)
		if !ok {
			return
		}
		time.Sleep(d)
		e.advance(life)
	}
}

// plan admits waiting sequences and returns how long the next step takes.
func (e *Engine) plan(life chan struct{}) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life {
		return 0, false
	}
	if e.faults.Hung {
		return hungStep, true
	}
	e.admit()
	if len(e.running) == 0 {
		e.looping = false
		return 0, false
	}
	return e.stepTime(), true
}

// admit moves sequences from the queue to the batch, in order, while there is
// room; one that does not fit holds up those behind it.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		s := e.waiting[0]
		hits, ok := e.memory.reserve(s.prefixes, s.need)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		s.started = true
		s.shared = hits
		e.skipPrefill(s, hits*backing.KVBlockTokens)
	}
}

// skipPrefill sets what is left to prefill of the prompt and the answer's
// resumed part. The last token is always computed, since the next one starts
// from it.
func (e *Engine) skipPrefill(s *sequence, cached int) {
	cached = max(cached, e.imports.covered(s.request.KVHandle, s.seed))
	s.cached = min(cached, s.prompt)
	s.todo = max(1, s.prompt+s.request.Resume-cached)
}

func (e *Engine) decoding() int {
	n := 0
	for _, s := range e.running {
		if s.todo == 0 {
			n++
		}
	}
	return n
}

func (e *Engine) stepTime() time.Duration {
	prefill := 0
	for _, n := range e.prefillShares() {
		prefill += n
	}
	d := e.options.Step
	d += time.Duration(float64(prefill) / e.options.PrefillRate * float64(time.Second))
	d += time.Duration(e.decoding()) * e.options.PerSequence
	if e.faults.SlowFactor > 1 {
		d = time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// prefillShares splits the step's chunk over the running sequences, by
// priority and then arrival; index i is the share of running sequence i.
func (e *Engine) prefillShares() []int {
	size := chunk[e.role].alone
	if e.decoding() > 0 {
		size = chunk[e.role].busy
	}
	order := make([]int, len(e.running))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(e.running[b].request.Priority, e.running[a].request.Priority)
	})
	shares := make([]int, len(e.running))
	for _, i := range order {
		shares[i] = min(size, e.running[i].todo)
		size -= shares[i]
	}
	return shares
}

// advance applies one step. A sequence that finishes its prefill emits its
// first token in the same step.
func (e *Engine) advance(life chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life || e.faults.Hung {
		return
	}
	shares := e.prefillShares()
	for i, s := range e.running {
		if s.done {
			continue
		}
		s.todo -= shares[i]
		if s.todo == 0 {
			e.generate(s)
		}
	}
	e.removeEnded()
	e.report(time.Now())
}

// generate emits one token of a sequence whose prefill is complete.
func (e *Engine) generate(s *sequence) {
	if s.shared < len(s.prefixes) {
		s.shared += e.memory.publish(s.prefixes[s.shared:])
	}
	if s.next < s.length {
		s.out = append(s.out, backing.Token{Index: s.next, Text: tokenText(s.seed, s.next)})
		s.next++
		s.wake()
	}
	if s.next >= s.length {
		e.exports.put(s.request.ID, cache{seed: s.seed, tokens: s.prompt + s.next})
		s.end(nil)
	}
}

// removeEnded takes ended sequences out of the batch and the queue.
func (e *Engine) removeEnded() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.done })
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.done {
			e.memory.release(s.prefixes[:s.shared], s.need-s.shared)
		}
		return s.done
	})
	if len(e.running)+len(e.waiting) == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}
