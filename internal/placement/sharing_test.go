package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// cacheEngine is an engine with a cache of prefix segments that drops the least recently
// used ones.
type cacheEngine struct {
	capacity, used int
	// lastUse holds the order of the last use of each segment, tokens their sizes.
	lastUse map[uint64]int
	tokens  map[uint64]int
}

func (e *cacheEngine) use(s Segment, at int) {
	if _, ok := e.lastUse[s.Hash]; !ok {
		e.used += s.Tokens
		e.tokens[s.Hash] = s.Tokens
	}
	e.lastUse[s.Hash] = at
	for e.used > e.capacity {
		oldest, found := uint64(0), false
		for hash, last := range e.lastUse {
			if !found || last < e.lastUse[oldest] {
				oldest, found = hash, true
			}
		}
		e.used -= e.tokens[oldest]
		delete(e.lastUse, oldest)
		delete(e.tokens, oldest)
	}
}

func (e *cacheEngine) holds(s Segment) bool {
	_, ok := e.lastUse[s.Hash]
	return ok
}

// playSharedPrompts places prompts that consist of one of many long shared parts and a
// part of their own, at a rate near what the engines can prefill. It returns the tokens
// of shared parts that were prefilled although an engine had done so before, as a
// fraction of all shared tokens.
func playSharedPrompts(costs Costs) float64 {
	const (
		engines, books           = 8, 118
		bookTokens, ownTokens    = 13_300, 3700
		capacity                 = 520_000
		requests                 = 3000
		interval                 = 57 * time.Millisecond
		tokensPerMS              = 50
		unsharedTokensPerRequest = 4000 // of other prompts, which share nothing
	)
	kv := KVCache{TokenBytes: 163_840, LinkMbps: 1.6e6, Capacity: capacity}
	rng := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // a fixed seed
	tr := NewTracker(costs)
	var list []*endpoint.Endpoint
	caches := make(map[string]*cacheEngine)
	for i := range engines {
		e := &endpoint.Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Domain: "d", Slots: 64, Stage: endpoint.StageDecode}
		list = append(list, e)
		caches[e.Address] = &cacheEngine{capacity: capacity, lastUse: make(map[uint64]int), tokens: make(map[uint64]int)}
	}
	type running struct {
		flight *Flight
		ends   time.Time
	}
	var flights []running
	seen := make(map[uint64]bool)
	shared, again := 0, 0
	now := start
	for n := range requests {
		now = now.Add(interval)
		kept := flights[:0]
		for _, r := range flights {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			r.flight.PrefillDone(now)
			r.flight.Done()
		}
		flights = kept
		book := Segment{Hash: uint64(1 + rng.IntN(books)), Tokens: bookTokens}
		own := Segment{Hash: uint64(1_000_000 + n), Tokens: ownTokens}
		job := &Job{PromptTokens: bookTokens + ownTokens, OutputTokens: 20, Segments: []Segment{book, own}}
		plan, ok := tr.Plan(now, list, job, kv)
		if !ok {
			continue
		}
		engine := caches[plan.Decode.Address]
		read := ownTokens
		if !engine.holds(book) && (plan.FetchFrom == "" || !caches[plan.FetchFrom].holds(book)) {
			read += bookTokens
			if seen[book.Hash] {
				again += bookTokens
			}
		}
		seen[book.Hash] = true
		shared += bookTokens
		engine.use(book, n)
		engine.use(own, n)
		other := Segment{Hash: uint64(2_000_000 + n), Tokens: unsharedTokensPerRequest}
		caches[list[rng.IntN(engines)].Address].use(other, n)
		flights = append(flights, running{tr.Begin(now, plan.Decode, &plan, job), now.Add(time.Duration(read/tokensPerMS) * time.Millisecond)})
	}
	return float64(again) / float64(shared)
}

// Long prompts that share parts with others fill the caches. Spreading copies of the
// parts over all engines lets each engine lose what it needs next, so that they are
// read again and again.
func TestSharedPartsAreNotSpreadOverAllEngines(t *testing.T) {
	is := is.New(t)
	costs := DefaultCosts()
	placed := playSharedPrompts(costs)
	costs.DisplacementCost = 0
	spread := playSharedPrompts(costs)
	t.Logf("read again: %.3f, with copies for free %.3f of the shared tokens", placed, spread)
	is.True(placed < 0.7*spread)
}
