package kv

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults controls the faults of a whole store or of one client. It is safe for
// concurrent use, and faults may change while calls are in progress.
type Faults struct {
	// mu guards the fields below.
	mu             sync.Mutex
	down           bool
	silent         bool
	delay          time.Duration
	loseNext       int
	loseRate       float64
	writeDelayRate float64
	writeDelay     time.Duration
	random         *rand.Rand
	// changed is closed and replaced when SetDown or SetSilent is called.
	changed chan struct{}
}

func newFaults(seed uint64) *Faults {
	return &Faults{
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// SetDown makes all calls fail immediately with backing.ErrUnavailable,
// including waiting watches. Leases keep expiring.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notifyWatches()
}

// SetSilent makes calls block without an answer until their context ends; they
// are not executed. Calls already blocked when it is switched off get no answer
// either.
func (f *Faults) SetSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
	f.notifyWatches()
}

// SetDelay adds d to the duration of each call, half of it before and half
// after its execution.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseNext makes the next n writes lose their answer: they are executed, but the
// caller gets backing.ErrUnknown.
func (f *Faults) LoseNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// LoseAnswers makes each write lose its answer with probability p.
func (f *Faults) LoseAnswers(p float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRate = p
}

// notifyWatches wakes all waiting watches. The caller must hold mu.
func (f *Faults) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// faultState is a consistent copy of the faults that do not depend on the call.
type faultState struct {
	down, silent bool
	delay        time.Duration
	changed      chan struct{}
}

func (f *Faults) state() faultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return faultState{down: f.down, silent: f.silent, delay: f.delay, changed: f.changed}
}

// takeAnswerLoss reports whether the answer to the current write is lost. It
// uses up one of the writes set by LoseNext.
func (f *Faults) takeAnswerLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseRate > 0 && f.random.Float64() < f.loseRate
}
