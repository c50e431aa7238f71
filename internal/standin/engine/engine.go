// Package engine is a stand-in for a model engine. It simulates continuous
// batching in coarse steps, chunked prefill with a chunk size by role, a prefix
// cache of KV cache blocks, and the faults of the platform's engines. An Engine
// implements backing.Engine and also serves the wire format of
// backing.HTTPEngine. It takes all times from package time, so it works under
// testing/synctest.
package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/record"
)

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	options     Options
	generations record.Log[GenerationRecord]
	orders      record.Log[OrderRecord]

	// mu guards the fields below.
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	role     backing.Role
	models   map[string]bool
	adapters map[string]bool
	// waiting is the queue, ordered by priority and arrival.
	waiting []*sequence
	// running is the batch, in order of admission.
	running     []*sequence
	arrivals    uint64
	blocks      *blockPool
	exports     *kvCacheSet
	imports     *kvCacheSet
	cacheEvents cacheEventLog
	loadHistory loadHistory
	// looping reports whether the step loop runs. It runs only while there is
	// work.
	looping bool
	// incarnation identifies the current start of the engine. A crash closes
	// and replaces it.
	incarnation chan struct{}
	// hungChanged is closed and replaced when Faults.Hung changes.
	hungChanged chan struct{}
	// idle is closed and replaced when the last sequence ends.
	idle chan struct{}
	// changingRole is true from the receipt of a role order until its execution
	// ends.
	changingRole bool
	// acceptedFence is the highest fencing token accepted by this incarnation.
	acceptedFence int64
	// receivedFence is the highest fencing token ever received.
	receivedFence int64
	// executions holds the orders accepted by this incarnation, by order ID.
	executions map[string]*orderExecution
	// executing is the number of orders in progress.
	executing int
}

var _ backing.Engine = (*Engine)(nil)

// New returns an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		incarnation: make(chan struct{}),
		hungChanged: make(chan struct{}),
		idle:        make(chan struct{}),
	}
	e.reset()
	return e
}

// reset puts the engine into its initial state. The caller must hold mu.
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
	e.blocks = newBlockPool(e.options.TotalBlocks, e.recordCacheEvent)
	e.exports = newKVCacheSet()
	e.imports = newKVCacheSet()
	e.loadHistory = nil
	e.changingRole = false
	e.acceptedFence = 0
	e.executions = make(map[string]*orderExecution)
	e.executing = 0
	e.recordLoad(time.Now())
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.options.Name }

// Role returns the current role.
func (e *Engine) Role() backing.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
