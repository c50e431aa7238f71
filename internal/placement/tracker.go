package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Load is the load of one host on one engine.
type Load struct {
	// PrefillTokens is the predicted number of prompt tokens still to be prefilled.
	PrefillTokens int `json:"t,omitempty"`
	// Streams is the number of answers being generated or waiting for
	// generation.
	Streams int `json:"s,omitempty"`
	// KVTokens is the KV cache size of the requests in flight, in tokens.
	KVTokens int `json:"m,omitempty"`
}

func (l *Load) add(other Load) {
	l.PrefillTokens += other.PrefillTokens
	l.Streams += other.Streams
	l.KVTokens += other.KVTokens
}

// Tracker tracks the load and cache contents of each engine. It is safe for
// concurrent use.
type Tracker struct {
	costs Costs

	mu      sync.Mutex
	engines map[string]*engineState
	// peers holds the load reported by each other host, by host name.
	peers map[string]peerLoad
	// rates holds the observed prefill rates.
	rates map[endpoint.Stage]*rate
	// dispatches are the latest dispatches, retained for peers. firstDispatch is
	// the sequence number of the first one.
	dispatches    []DispatchRecord
	firstDispatch int64
	// stageChanges holds the engines that are changing their stage and when the
	// change ends.
	stageChanges map[string]time.Time
}

type peerLoad struct {
	receivedAt time.Time
	engines    map[string]Load
}

// peerLoadTTL is how long a peer's load report is valid.
const peerLoadTTL = 2500 * time.Millisecond

// DispatchRecord reports to peers that a request was dispatched to an engine, and
// the shared segments that this adds to the engine's cache.
type DispatchRecord struct {
	Engine   string   `json:"e"`
	Segments []uint64 `json:"p"`
	// ReadyIn is the predicted time until the segments are prefilled, in ns.
	ReadyIn time.Duration `json:"r"`
	// Tokens is the number of tokens that the dispatch adds to the engine's
	// cache.
	Tokens int64 `json:"t,omitempty"`
}

// engineState is the state of one incarnation of an engine.
type engineState struct {
	key      endpoint.Key
	flights  map[*Flight]struct{}
	segments map[uint64]cachedSegment
	// addedTokens is the known number of tokens added to the cache since the
	// engine started.
	addedTokens int64
	// slowdown is the smoothed ratio of observed to predicted times, at least
	// 1.
	slowdown float64
	// failures is the number of consecutive failures.
	failures int
	// avoidUntil is when the engine is usable again; before that it is selected
	// only if there is no other.
	avoidUntil time.Time
	// rejects is the number of consecutive rejections: the engine is full or is
	// changing its stage.
	rejects int
	// misses is the number of consecutive prefilled caches that were missing.
	misses int
	// noPrefillUntil is when prompts may be prefilled there for other engines
	// again.
	noPrefillUntil time.Time
	// failureRatio is the smoothed ratio of failed calls.
	failureRatio float64
	// lastFailure is the time of the last failed call.
	lastFailure time.Time
}

// NewTracker returns a tracker without engines.
func NewTracker(c Costs) *Tracker {
	return &Tracker{
		costs: c, engines: make(map[string]*engineState), peers: make(map[string]peerLoad), stageChanges: make(map[string]time.Time),
		rates: map[endpoint.Stage]*rate{
			endpoint.StagePrefill: {tokensPerMS: c.PrefillRate},
			endpoint.StageDecode:  {tokensPerMS: c.DecodeRate},
		},
	}
}

// engineState returns the state of the endpoint's current incarnation and
// resets it if the incarnation has changed. The caller holds mu.
func (t *Tracker) engineState(e *endpoint.Endpoint) *engineState {
	state := t.engines[e.ID]
	if state == nil || state.key != e.Key() {
		state = &engineState{key: e.Key(), flights: make(map[*Flight]struct{}), segments: make(map[uint64]cachedSegment), slowdown: 1}
		t.engines[e.ID] = state
	}
	return state
}

// RemoveEngine removes the state of an engine that has left.
func (t *Tracker) RemoveEngine(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.engines, id)
}

// load returns the load of all hosts on an engine. The caller holds mu.
func (t *Tracker) load(now time.Time, id string) Load {
	var sum Load
	if state := t.engines[id]; state != nil {
		sum = state.load(now)
	}
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) < peerLoadTTL {
			sum.add(p.engines[id])
		}
	}
	return sum
}

func (s *engineState) load(now time.Time) Load {
	var sum Load
	for f := range s.flights {
		sum.add(f.load(now))
	}
	return sum
}

// Loads returns this host's load on each engine, for its peers.
func (t *Tracker) Loads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.engines))
	for id, state := range t.engines {
		if l := state.load(now); l != (Load{}) {
			out[id] = l
		}
	}
	return out
}

// DispatchesSince returns the retained dispatches from a sequence number on, and
// the sequence number of the next one.
func (t *Tracker) DispatchesSince(seq int64) ([]DispatchRecord, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := max(0, min(seq-t.firstDispatch, int64(len(t.dispatches))))
	return slices.Clone(t.dispatches[from:]), t.firstDispatch + int64(len(t.dispatches))
}

// SetPeerLoads replaces the loads reported by another host.
func (t *Tracker) SetPeerLoads(now time.Time, host string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[host] = peerLoad{receivedAt: now, engines: loads}
}

// AddPeerDispatches applies the dispatches of another host. Dispatches to engines
// without state are ignored. A dispatch may be delivered twice; its tokens are
// then added twice.
func (t *Tracker) AddPeerDispatches(now time.Time, dispatches []DispatchRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range dispatches {
		if state := t.engines[d.Engine]; state != nil {
			state.addedTokens += d.Tokens
			for _, h := range d.Segments {
				state.addSegment(now, now.Add(d.ReadyIn), h)
			}
		}
	}
}

// Idle reports whether no host has load on any of the engines.
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

// RemovePeer removes the load of a host that has left.
func (t *Tracker) RemovePeer(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, host)
}

const (
	// segmentTTL is how long a segment is assumed to stay in an engine's cache
	// without being used.
	segmentTTL = 60 * time.Second
	// maxSegments bounds the tracked segments of one engine.
	maxSegments = 4096
)

// cachedSegment is a prefix segment in an engine's cache.
type cachedSegment struct {
	// lastUsed is the time of its last use. readyAt is the time at which its
	// prefill ended or is predicted to end.
	lastUsed, readyAt time.Time
	// addedTokens is the engine's addedTokens at the last use.
	addedTokens int64
}

// addSegment records the use of a segment that is ready at readyAt.
func (s *engineState) addSegment(now, readyAt time.Time, hash uint64) {
	if len(s.segments) >= maxSegments {
		for h, segment := range s.segments {
			if now.Sub(segment.lastUsed) > segmentTTL || len(s.segments) >= maxSegments {
				delete(s.segments, h)
			}
			if len(s.segments) < maxSegments*3/4 {
				break
			}
		}
	}
	if old, ok := s.segments[hash]; ok && old.readyAt.Before(readyAt) {
		readyAt = old.readyAt
	}
	s.segments[hash] = cachedSegment{lastUsed: now, readyAt: readyAt, addedTokens: s.addedTokens}
}

// cachedTokens returns how many leading tokens of the prompt the engine will
// have cached when it starts the job, and how many another engine can fetch
// now. The cache is assumed to retain the most recently used segments, up to
// retained tokens; 0 means that the limit is unknown.
func (s *engineState) cachedTokens(now time.Time, segments []Segment, retained int64) (cached, fetchable int) {
	allReady := true
	for _, segment := range segments {
		entry, ok := s.segments[segment.Hash]
		if !ok || now.Sub(entry.lastUsed) > segmentTTL || retained > 0 && s.addedTokens-entry.addedTokens > retained {
			break
		}
		cached += segment.Tokens
		if allReady = allReady && !entry.readyAt.After(now); allReady {
			fetchable += segment.Tokens
		}
	}
	return cached, fetchable
}

// retainedFraction is the fraction of an engine's KV cache, less that of
// requests in flight, that is assumed to retain the most recently used
// segments. It is below 1 because dispatches of peers are received late.
const retainedFraction = 0.85

// retainedTokens returns the number of tokens that an engine's cache is assumed
// to retain; 0 means unknown.
func (kv KVCache) retainedTokens(inFlight int) int64 {
	if kv.Capacity <= 0 {
		return 0
	}
	return max(1, int64(retainedFraction*float64(kv.Capacity))-int64(inFlight))
}

// rate is an observed prefill rate.
type rate struct{ tokensPerMS float64 }

const (
	// rateWeight is the smoothing weight of a new observation.
	rateWeight = 0.1
	// minSampleTokens is the minimum prompt size for a rate observation, in
	// tokens.
	minSampleTokens = 1000
)

func (r *rate) observe(tokensPerMS float64) {
	r.tokensPerMS += rateWeight * (tokensPerMS - r.tokensPerMS)
}

// Rates returns the observed prefill rates of prefill and decode engines, in
// tokens per millisecond, for dumps and logs.
func (t *Tracker) Rates() (prefill, decode float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rates[endpoint.StagePrefill].tokensPerMS, t.rates[endpoint.StageDecode].tokensPerMS
}
