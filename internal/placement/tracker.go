package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
	"github.com/acacialink/acacialink/internal/updatelog"
)

// Load is the load of one host on one engine.
type Load struct {
	// PrefillTokens is the predicted number of prompt tokens still to be prefilled.
	PrefillTokens int
	// Streams is the number of answers being generated or waiting for
	// generation.
	Streams int
	// KVTokens is the KV cache size of the requests in flight, in tokens.
	KVTokens int
}

func (l *Load) add(other Load) {
	l.PrefillTokens += other.PrefillTokens
	l.Streams += other.Streams
	l.KVTokens += other.KVTokens
}

func (l *Load) subtract(other Load) {
	l.PrefillTokens -= other.PrefillTokens
	l.Streams -= other.Streams
	l.KVTokens -= other.KVTokens
}

// Tracker tracks the load and cache contents of each engine. It is safe for
// concurrent use.
type Tracker struct {
	costs Costs

	mu      sync.Mutex
	engines map[string]*engineState
	// peers holds the load reported by other hosts, by the name of the host that
	// reports it. A report may cover several hosts. peerSum is their sum by engine.
	peers   map[string]peerLoad
	peerSum map[string]Load
	// peerExpiry is the time at which the oldest of these reports expires.
	peerExpiry time.Time
	// prefills predicts the prefills of the engines of each stage.
	prefills map[endpoint.Stage]*prefillModel
	// prefilled counts the tokens that prefill engines were given by all hosts, by service.
	// contextFactor is the smoothed ratio of the time of a prefill to that without its context.
	prefilled     map[string]float64
	contextFactor float64
	// fetchDelay is the smoothed time by which fetches take longer than predicted.
	fetchDelay time.Duration
	// dispatches holds the dispatches of this host, of those that report to it, and
	// those received from other hosts.
	dispatches *updatelog.Relay[DispatchRecord]
	// stageChanges holds the engines that are changing their stage and when the
	// change ends.
	stageChanges map[string]time.Time
	// paced holds the endpoints that have stated a rate, by ID.
	paced map[string]*pace.Pacer
	// pauses holds the endpoints that want nothing from this host for a time, by ID.
	pauses map[string]pace.Pause
	// departures holds the endpoints that are said to leave, by ID.
	departures map[string]endpoint.Departure
	fleet      fleetView
	// doubts holds when an endpoint last gave no answer to a host, by ID.
	doubts map[string]time.Time
	// statedLoads holds what endpoints last stated of their load, by ID.
	statedLoads map[string]statedLoad
	// starts holds the endpoints that have just started, by ID.
	starts map[string]endpointStart
	// coldServices holds the services whose endpoints bear few requests while they are cold,
	// cold the requests to their endpoints, by ID, and returned when failure domains were
	// given work again.
	coldServices map[string]ColdService
	cold         map[string]*pace.Cold
	returned     map[string]time.Time
}

type peerLoad struct {
	receivedAt time.Time
	engines    map[string]Load
}

// peerLoadTTL is how long a peer's load report is valid.
const peerLoadTTL = 1500 * time.Millisecond

// DispatchRecord reports to peers that a request was dispatched to an engine, and
// the shared segments that this adds to the engine's cache.
type DispatchRecord struct {
	// Origin is the host that dispatched the request, if that is not the host that
	// sends the record.
	Origin   string
	Engine   string
	Segments []uint64
	// ReadyIn is the predicted time until the segments are prefilled, in ns.
	ReadyIn time.Duration
	// Tokens is the number of tokens that the dispatch adds to the engine's
	// cache.
	Tokens int64
	// Answer is set instead of the fields above if the record is that of an answer of an
	// engine that has just started, and not of a dispatch.
	Answer pace.Answer
}

// engineState is the state of one incarnation of an engine.
type engineState struct {
	key      endpoint.Key
	service  string
	stage    endpoint.Stage
	flights  map[*Flight]struct{}
	segments map[uint64]cachedSegment
	// addedTokens is the known number of tokens added to the cache since the
	// engine started.
	addedTokens int64
	// slowdown is the smoothed ratio of observed to predicted times as of slowdownOf. Below 1
	// it counts as 1.
	slowdown   float64
	slowdownOf time.Time
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
		costs: c, engines: make(map[string]*engineState), peers: make(map[string]peerLoad), peerSum: make(map[string]Load),
		stageChanges: make(map[string]time.Time), paced: make(map[string]*pace.Pacer), pauses: make(map[string]pace.Pause), departures: make(map[string]endpoint.Departure), prefilled: make(map[string]float64), contextFactor: 1, doubts: make(map[string]time.Time), statedLoads: make(map[string]statedLoad), starts: make(map[string]endpointStart), cold: make(map[string]*pace.Cold), returned: make(map[string]time.Time), dispatches: updatelog.NewRelay[DispatchRecord](maxDispatches),
		prefills: map[endpoint.Stage]*prefillModel{
			endpoint.StagePrefill: newPrefillModel(c.PrefillRate, c.PrefillOverhead),
			endpoint.StageDecode:  newPrefillModel(c.DecodeRate, c.PrefillOverhead),
		},
	}
}

// engineState returns the state of the endpoint's current incarnation and
// resets it if the incarnation has changed. The caller holds mu.
func (t *Tracker) engineState(e *endpoint.Endpoint) *engineState {
	t.coldCounts(e)
	state := t.engines[e.ID]
	if state == nil || state.key != e.Key() {
		state = &engineState{key: e.Key(), flights: make(map[*Flight]struct{}), segments: make(map[uint64]cachedSegment), slowdown: 1}
		t.engines[e.ID] = state
	}
	state.service, state.stage = e.Service, e.Stage
	return state
}

// RemoveEngine removes the state of an engine that has left.
func (t *Tracker) RemoveEngine(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.engines, id)
	delete(t.cold, id)
	delete(t.starts, id)
	delete(t.doubts, id)
	delete(t.statedLoads, id)
}

// load returns the load of all hosts on an engine. The caller holds mu.
func (t *Tracker) load(now time.Time, id string) Load {
	var sum Load
	if state := t.engines[id]; state != nil {
		sum = state.load(now)
	}
	t.expirePeers(now)
	sum.add(t.peerSum[id])
	return sum
}

// expirePeers drops the reports that are no longer valid. The caller holds mu.
func (t *Tracker) expirePeers(now time.Time) {
	if len(t.peers) == 0 || now.Before(t.peerExpiry) {
		return
	}
	t.peerExpiry = now.Add(peerLoadTTL)
	for host, p := range t.peers {
		if expiry := p.receivedAt.Add(peerLoadTTL); !expiry.After(now) {
			t.removePeer(host)
		} else if expiry.Before(t.peerExpiry) {
			t.peerExpiry = expiry
		}
	}
}

// LoadOn returns the load of all hosts on an engine.
func (t *Tracker) LoadOn(now time.Time, id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(now, id)
}

// removePeer drops a report from the sum. The caller holds mu.
func (t *Tracker) removePeer(host string) {
	for id, l := range t.peers[host].engines {
		rest := t.peerSum[id]
		rest.subtract(l)
		if rest == (Load{}) {
			delete(t.peerSum, id)
		} else {
			t.peerSum[id] = rest
		}
	}
	delete(t.peers, host)
}

func (s *engineState) load(now time.Time) Load {
	var sum Load
	for f := range s.flights {
		sum.add(f.load(now))
	}
	return sum
}

// Loads returns this host's load on each engine together with the loads that the
// peers reported for which include returns true.
func (t *Tracker) Loads(now time.Time, include func(peer string) bool) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	out := make(map[string]Load, len(t.engines))
	for id, state := range t.engines {
		if l := state.load(now); l != (Load{}) {
			out[id] = l
		}
	}
	for host, p := range t.peers {
		if !include(host) {
			continue
		}
		for id, l := range p.engines {
			sum := out[id]
			sum.add(l)
			out[id] = sum
		}
	}
	return out
}

// DispatchBatch is a sequence of dispatches of one sender, without those that the
// receiver itself made.
type DispatchBatch struct {
	// First is the sequence number of the first dispatch, Next the one after the
	// last.
	First   int64
	Next    int64
	Records []DispatchRecord
}

// maxDispatches bounds the dispatches retained for peers; it covers a second of the
// largest fleets and a few seconds of others.
const maxDispatches = 1024

// maxBatch bounds the dispatches of one message. A receiver that missed more than these
// knows a little less of what engines have cached.
const maxBatch = 160

func newDispatchBatch(records []DispatchRecord, first, next int64) DispatchBatch {
	if dropped := len(records) - maxBatch; dropped > 0 {
		records, first = records[dropped:], first+int64(dropped)
	}
	return DispatchBatch{First: first, Next: next, Records: records}
}

// OwnDispatchesSince returns the retained dispatches of this host, and of the hosts
// that report to it, from a sequence number on.
func (t *Tracker) OwnDispatchesSince(seq int64) DispatchBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return newDispatchBatch(t.dispatches.OwnSince(seq))
}

// AllDispatchesSince returns the retained dispatches of all hosts but one from a
// sequence number on. The sequence numbers differ from those of OwnDispatchesSince.
func (t *Tracker) AllDispatchesSince(seq int64, except string) DispatchBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := newDispatchBatch(t.dispatches.AllSince(seq))
	batch.Records = slices.DeleteFunc(batch.Records, func(d DispatchRecord) bool { return d.Origin == except })
	return batch
}

// SetPeerLoads replaces the loads reported by another host.
func (t *Tracker) SetPeerLoads(now time.Time, host string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(now)
	t.removePeer(host)
	if len(t.peers) == 0 {
		t.peerExpiry = now.Add(peerLoadTTL)
	}
	t.peers[host] = peerLoad{receivedAt: now, engines: loads}
	for id, l := range loads {
		sum := t.peerSum[id]
		sum.add(l)
		t.peerSum[id] = sum
	}
}

// AddPeerDispatches applies the dispatches that an incarnation of another host sent,
// each once. Dispatches to engines without state are ignored. With relay, they are
// retained for peers like those of this host.
func (t *Tracker) AddPeerDispatches(now time.Time, host, incarnation string, batch DispatchBatch, relay bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := slices.Clone(batch.Records)
	for i := range records {
		if records[i].Origin == "" {
			records[i].Origin = host
		}
	}
	for _, d := range t.dispatches.Receive(incarnation, batch.First, batch.Next, records, relay) {
		if d.Answer != pace.Fair {
			t.peerAnswered(now, d.Engine, d.Answer)
			continue
		}
		t.arrived(now, d.Engine, false)
		if state := t.engines[d.Engine]; state != nil {
			t.countPrefill(state, d.Tokens)
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
	t.removePeer(host)
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

// Rates returns the observed prefill rates of prefill and decode engines, in
// tokens per millisecond, for dumps and logs.
func (t *Tracker) Rates() (prefill, decode float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefills[endpoint.StagePrefill].tokensPerMS(), t.prefills[endpoint.StageDecode].tokensPerMS()
}
