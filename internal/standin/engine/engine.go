// Package engine is a stand-in for a model engine. It batches continuously in
// coarse steps, prefills in chunks by role, caches prompt prefixes in pieces,
// and has the faults that the platform's engines have. An Engine is a
// backing.Engine itself and also serves the wire format of
// backing.HTTPEngine. It reads time only from package time, so tests may run
// it under testing/synctest.
package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/record"
)

// Engine is one engine.
type Engine struct {
	options     Options
	generations record.Log[GenerationRecord]
	orders      record.Log[OrderRecord]

	// mu guards all below.
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	role     backing.Role
	models   map[string]bool
	adapters map[string]bool
	// waiting is ordered by priority and arrival, running by arrival.
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	memory   *memory
	exports  *caches
	imports  *caches
	events   events
	reports  reports
	// looping is true while the step loop runs; it runs only with work.
	looping bool
	// life is closed by a crash, hung replaced with each change of the fault.
	life chan struct{}
	hung chan struct{}
	// idle is closed and replaced when the last sequence ends.
	idle chan struct{}
	// changing is true from the receipt of a role order to its end.
	changing bool
	// fence is the highest fencing number accepted since the start, received
	// the highest ever received.
	fence    int64
	received int64
	applied  map[string]*application
	applying int
}

var _ backing.Engine = (*Engine)(nil)

// New returns an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		life:    make(chan struct{}),
		hung:    make(chan struct{}),
		idle:    make(chan struct{}),
	}
	e.reset()
	return e
}

// reset brings the engine to its state at the start. Called with mu held.
func (e *Engine) reset() {
	e.role = e.options.Role
	e.models = make(map[string]bool)
	e.adapters = make(map[string]bool)
	for _, m := range e.options.Models {
		e.models[m] = true
	}
	for _, a := range e.options.Adapters {
		e.adapters[a] = true
	}
	e.waiting = nil
	e.running = nil
	e.memory = newMemory(e.options.TotalPieces, e.cacheChanged)
	e.exports = newCaches()
	e.imports = newCaches()
	e.reports = nil
	e.changing = false
	e.fence = 0
	e.applied = make(map[string]*application)
	e.applying = 0
	e.report(time.Now())
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.options.Name }

// Role returns the role in force.
func (e *Engine) Role() backing.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
