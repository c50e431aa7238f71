package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// prefillChunk is the number of prompt tokens that one step prefills, by role:
// while sequences decode in the same step and otherwise.
var prefillChunk = map[backing.Role]struct{ withDecode, withoutDecode int }{
	backing.RoleMixed:   {withDecode: 256, withoutDecode: 2_048},
	backing.RolePrefill: {withDecode: 4_096, withoutDecode: 4_096},
	backing.RoleDecode:  {withDecode: 64, withoutDecode: 512},
}

// hungPollInterval is the interval at which a hung engine checks whether it may
// resume.
const hungPollInterval = 50 * time.Millisecond

// startLoop starts the step loop if it is not running. The caller must hold mu.
func (e *Engine) startLoop() {
	if !e.looping {
		e.looping = true
		go e.runSteps(e.incarnation)
	}
}

// runSteps executes steps until there is no work or the engine crashes.
func (e *Engine) runSteps(incarnation chan struct{}) {
	for {
		d, ok := e.planStep(incarnation)
		if !ok {
			return
		}
		time.Sleep(d)
		e.finishStep(incarnation)
	}
}

// planStep admits waiting sequences and returns the duration of the next step.
// It returns false if the loop must end.
func (e *Engine) planStep(incarnation chan struct{}) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return 0, false
	}
	if e.faults.Hung {
		return hungPollInterval, true
	}
	e.admit()
	if len(e.running) == 0 {
		e.looping = false
		return 0, false
	}
	return e.stepTime(), true
}

// admit moves sequences from the queue to the batch, in order, while there is
// space. A sequence that does not fit blocks those behind it. The caller must
// hold mu.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		s := e.waiting[0]
		hits, ok := e.blocks.reserve(s.prefixes, s.neededBlocks)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		s.started = true
		s.sharedBlocks = hits
		e.skipPrefill(s, hits*backing.KVBlockTokens)
	}
}

// skipPrefill sets the number of tokens to prefill for the prompt and the
// resumed part of the answer, given the number of cached tokens. At least the
// last token is always computed, since it is the input for the next one.
func (e *Engine) skipPrefill(s *sequence, cached int) {
	cached = max(cached, e.imports.coveredTokens(s.request.KVHandle, s.seed))
	s.cachedTokens = min(cached, s.promptTokens)
	s.prefillLeft = max(1, s.promptTokens+s.request.Resume-cached)
}

// decodingCount returns the number of sequences in the batch that are decoding.
func (e *Engine) decodingCount() int {
	n := 0
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			n++
		}
	}
	return n
}

// stepTime returns the duration of the next step.
func (e *Engine) stepTime() time.Duration {
	prefill := 0
	for _, n := range e.prefillShares() {
		prefill += n
	}
	d := e.options.Step
	d += time.Duration(float64(prefill) / e.options.PrefillRate * float64(time.Second))
	d += time.Duration(e.decodingCount()) * e.options.PerSequence
	if e.faults.SlowFactor > 1 {
		d = time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// prefillShares divides the prefill chunk of a step among the running
// sequences, by priority and then order of admission. Element i is the number
// of tokens for running[i].
func (e *Engine) prefillShares() []int {
	remaining := prefillChunk[e.role].withoutDecode
	if e.decodingCount() > 0 {
		remaining = prefillChunk[e.role].withDecode
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
		shares[i] = min(remaining, e.running[i].prefillLeft)
		remaining -= shares[i]
	}
	return shares
}

// finishStep applies the effects of one step. A sequence that completes its
// prefill emits its first token in the same step.
func (e *Engine) finishStep(incarnation chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation || e.faults.Hung {
		return
	}
	shares := e.prefillShares()
	for i, s := range e.running {
		if s.done {
			continue
		}
		s.prefillLeft -= shares[i]
		if s.prefillLeft == 0 {
			e.emitToken(s)
		}
	}
	e.removeEnded()
	e.recordLoad(time.Now())
}

// emitToken generates the next token of a sequence whose prefill is complete,
// and ends the sequence after its last token.
func (e *Engine) emitToken(s *sequence) {
	if s.sharedBlocks < len(s.prefixes) {
		s.sharedBlocks += e.blocks.publish(s.prefixes[s.sharedBlocks:])
	}
	if s.nextToken < s.outputLength {
		s.undelivered = append(s.undelivered, backing.Token{Index: s.nextToken, Text: tokenText(s.seed, s.nextToken)})
		s.nextToken++
		s.wake()
	}
	if s.nextToken >= s.outputLength {
		e.exports.put(s.request.ID, kvCache{seed: s.seed, tokens: s.promptTokens + s.nextToken})
		s.end(nil)
	}
}

// removeEnded removes ended sequences from the queue and the batch. The caller
// must hold mu.
func (e *Engine) removeEnded() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.done })
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.done {
			e.blocks.release(s.prefixes[:s.sharedBlocks], s.neededBlocks-s.sharedBlocks)
		}
		return s.done
	})
	if len(e.running)+len(e.waiting) == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}
