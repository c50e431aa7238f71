package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Load is the work of one host at one engine.
type Load struct {
	// Tokens are prompt tokens still to be read, as predicted.
	Tokens int `json:"t,omitempty"`
	// Streams are answers being generated or waiting to be.
	Streams int `json:"s,omitempty"`
	// Memory is the KV cache of the requests in flight, in tokens.
	Memory int `json:"m,omitempty"`
}

func (l *Load) add(o Load) {
	l.Tokens += o.Tokens
	l.Streams += o.Streams
	l.Memory += o.Memory
}

// Tracker knows the work at each engine. It is safe for concurrent use.
type Tracker struct {
	costs Costs

	mu      sync.Mutex
	engines map[string]*engine
	// peers holds the load that each other host reported, by engine.
	peers map[string]peerLoad
	rates map[endpoint.Stage]*rate
	// placed are the latest dispatches, the first of which is number first.
	placed []Placed
	first  int64
	// switches holds the engines that change their stage, and until when.
	switches map[string]time.Time
}

type peerLoad struct {
	at      time.Time
	engines map[string]Load
}

// peerLife is how long a silent peer's report counts.
const peerLife = 2500 * time.Millisecond

// Placed tells peers which shared parts an engine has read.
type Placed struct {
	Engine string   `json:"e"`
	Parts  []uint64 `json:"p"`
	// ReadIn is the predicted time until they are read, in ns.
	ReadIn time.Duration `json:"r"`
	// Tokens is what the dispatch adds to the engine's cache.
	Tokens int64 `json:"t,omitempty"`
}

// engine is what is known of one engine's start.
type engine struct {
	key   endpoint.Key
	jobs  map[*Flight]struct{}
	parts map[uint64]part
	// added is the tokens that went into the cache since the start, as far as
	// they are known.
	added int64
	// slow is the smoothed ratio of observed to predicted times, at least 1.
	slow float64
	// failures are consecutive failures; avoid is until when the engine is
	// picked only if there is no other.
	failures int
	avoid    time.Time
	// rejects are consecutive rejections, which say that it is full or changes
	// its stage; lapses are consecutive prefilled caches that were gone, and
	// noHandles is until when none is made there.
	rejects   int
	lapses    int
	noHandles time.Time
	// errors is the smoothed share of calls that it failed, failed when the
	// last one did.
	errors float64
	failed time.Time
}

// NewTracker returns a tracker that knows no engines.
func NewTracker(c Costs) *Tracker {
	return &Tracker{
		costs: c, engines: make(map[string]*engine), peers: make(map[string]peerLoad), switches: make(map[string]time.Time),
		rates: map[endpoint.Stage]*rate{
			endpoint.StagePrefill: {perMS: c.PrefillRate},
			endpoint.StageDecode:  {perMS: c.DecodeRate},
		},
	}
}

// engine returns the record of an endpoint's start. The caller holds mu.
func (t *Tracker) engine(e *endpoint.Endpoint) *engine {
	g := t.engines[e.ID]
	if g == nil || g.key != e.Key() {
		g = &engine{key: e.Key(), jobs: make(map[*Flight]struct{}), parts: make(map[uint64]part), slow: 1}
		t.engines[e.ID] = g
	}
	return g
}

// Forget drops what is known of an engine that left.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.engines, id)
}

// load is all hosts' work at an engine. The caller holds mu.
func (t *Tracker) load(now time.Time, id string) Load {
	var sum Load
	if g := t.engines[id]; g != nil {
		sum = g.load(now)
	}
	for _, p := range t.peers {
		if now.Sub(p.at) < peerLife {
			sum.add(p.engines[id])
		}
	}
	return sum
}

func (g *engine) load(now time.Time) Load {
	var sum Load
	for f := range g.jobs {
		sum.add(f.load(now))
	}
	return sum
}

// Loads is this host's work at each engine, for its peers.
func (t *Tracker) Loads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.engines))
	for id, g := range t.engines {
		if l := g.load(now); l != (Load{}) {
			out[id] = l
		}
	}
	return out
}

// PlacedSince returns the dispatches from a number on, as far as they are
// remembered, and the number of the next one.
func (t *Tracker) PlacedSince(number int64) ([]Placed, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := max(0, min(number-t.first, int64(len(t.placed))))
	return slices.Clone(t.placed[known:]), t.first + int64(len(t.placed))
}

// Peer takes another host's work.
func (t *Tracker) Peer(now time.Time, host string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[host] = peerLoad{at: now, engines: loads}
}

// PeerPlaced takes another host's dispatches. One may come twice.
func (t *Tracker) PeerPlaced(now time.Time, placed []Placed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range placed {
		if g := t.engines[p.Engine]; g != nil {
			g.added += p.Tokens
			for _, h := range p.Parts {
				g.hold(now, now.Add(p.ReadIn), h)
			}
		}
	}
}

// Idle says that no host has work at the engines.
func (t *Tracker) Idle(now time.Time, engines []*endpoint.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range engines {
		if t.load(now, e.ID) != (Load{}) {
			return false
		}
	}
	return true
}

// DropPeer forgets the work of a host that is gone.
func (t *Tracker) DropPeer(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, host)
}

const (
	// partLife is how long a part is believed to stay in an engine's cache
	// without being used.
	partLife = 60 * time.Second
	// maxParts bounds the remembered parts of one engine.
	maxParts = 4096
)

// part is one part of prompts that an engine holds.
type part struct {
	// used is when it was last asked for, ready when it was or will be read.
	used, ready time.Time
	// added is what had gone into the cache when it was last asked for.
	added int64
}

func (g *engine) hold(now, ready time.Time, hash uint64) {
	if len(g.parts) >= maxParts {
		for h, p := range g.parts {
			if now.Sub(p.used) > partLife || len(g.parts) >= maxParts {
				delete(g.parts, h)
			}
			if len(g.parts) < maxParts*3/4 {
				break
			}
		}
	}
	if old, ok := g.parts[hash]; ok && old.ready.Before(ready) {
		ready = old.ready
	}
	g.parts[hash] = part{used: now, ready: ready, added: g.added}
}

// cached is how many tokens from the prompt's start the engine holds by the
// time it would begin with it, and how many another engine could fetch now. The
// parts that were used last are held, as many as room, in tokens, allows; no
// room means that it is not known.
func (g *engine) cached(now time.Time, parts []Part, room int64) (queued, fetchable int) {
	ready := true
	for _, p := range parts {
		held, ok := g.parts[p.Hash]
		if !ok || now.Sub(held.used) > partLife || room > 0 && g.added-held.added > room {
			break
		}
		queued += p.Tokens
		if ready = ready && !held.ready.After(now); ready {
			fetchable += p.Tokens
		}
	}
	return queued, fetchable
}

// cacheShare is the part of an engine's memory, beside that of requests in
// flight, that is believed to hold the parts used last: what peers have added
// is heard of late.
const cacheShare = 0.85

// room is the tokens that an engine's cache holds.
func (m Memory) room(inFlight int) int64 {
	if m.Capacity <= 0 {
		return 0
	}
	return max(1, int64(cacheShare*float64(m.Capacity))-int64(inFlight))
}

// rate is a learned reading speed.
type rate struct{ perMS float64 }

const (
	// rateWeight is the weight of a new observation of a speed.
	rateWeight = 0.1
	// minSample is the least tokens of a prompt that tell a speed.
	minSample = 1000
)

func (r *rate) observe(perMS float64) {
	r.perMS += rateWeight * (perMS - r.perMS)
}

// Rates are the learned speeds, for dumps and logs, in tokens a millisecond.
func (t *Tracker) Rates() (prefill, decode float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rates[endpoint.StagePrefill].perMS, t.rates[endpoint.StageDecode].perMS
}
