package kv

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the fault switches of the whole store or of one client. They
// may be changed at any time, from any goroutine.
type Faults struct {
	mu       sync.Mutex
	down     bool
	silent   bool
	delay    time.Duration
	loseNext int
	loseRate float64
	lateRate float64
	lateBy   time.Duration
	random   *rand.Rand
	// changed is closed and replaced whenever down or silent changes.
	changed chan struct{}
}

func newFaults(seed uint64) *Faults {
	return &Faults{
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// SetDown makes every call fail at once with backing.ErrUnavailable, waiting
// watches included. Leases go on running out.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notify()
}

// SetSilent makes calls get no answer until their context ends; they have no
// effect. Calls that wait when it is switched off stay without an answer.
func (f *Faults) SetSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
	f.notify()
}

// SetDelay makes each call take d longer, half before and half after it takes
// effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseNext loses the answers of the next n writes: they take effect and the
// caller gets backing.ErrUnknown.
func (f *Faults) LoseNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// LoseAnswers loses the answer of each write with probability p.
func (f *Faults) LoseAnswers(p float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRate = p
}

// notify wakes waiting watches. Called with mu held.
func (f *Faults) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// faultState is the part of the faults that a call reads once.
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

func (f *Faults) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseRate > 0 && f.random.Float64() < f.loseRate
}
