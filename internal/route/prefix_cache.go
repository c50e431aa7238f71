package route

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// DefaultPrefixCacheEntries is the default limit on tracked prefixes.
	DefaultPrefixCacheEntries = 1 << 16
	// maxEndpointsPerPrefix bounds the endpoints tracked for one prefix.
	maxEndpointsPerPrefix = 4
	// maxMatches bounds the endpoints returned by a lookup.
	maxMatches = 4
	// prefixCacheTTL is how long a prefix is assumed to stay cached without a
	// further event or dispatch.
	prefixCacheTTL = 10 * time.Minute
	// trustWeight is the weight of the latest outcome in the moving average of an
	// endpoint's trust.
	trustWeight = 0.1
	// initialTrust is the trust in an endpoint without any recorded outcome.
	initialTrust = 0.7
	// trustGapFactor scales an endpoint's trust when cache events were missed.
	trustGapFactor = 0.8
)

// PrefixCacheIndex predicts which endpoints have a prompt's prefix in their KV
// cache. It combines cache events, which may be delayed or lost, with the entry
// host's own dispatches. Memory is bounded: the older generation of prefixes is
// discarded when the recent one reaches half the limit. Predictions are weighted
// by the endpoint's trust, which falls when predicted hits turn out to be misses.
// It is not safe for concurrent use.
type PrefixCacheIndex struct {
	maxEntries int
	recent     map[uint64]prefixEndpoints
	older      map[uint64]prefixEndpoints
	endpoints  map[string]*endpointCache
}

// prefixEndpoints lists the endpoints that cache one prefix, most recently
// updated first.
type prefixEndpoints [maxEndpointsPerPrefix]prefixEndpoint

type prefixEndpoint struct {
	cache     *endpointCache
	updatedAt time.Time
}

// endpointCache is the tracked state of one endpoint's cache.
type endpointCache struct {
	name     string
	sequence uint64
	trust    float64
	removed  bool
}

// Match is an endpoint predicted to cache a prefix of a prompt.
type Match struct {
	Endpoint string
	// Tokens is the length of the cached prefix, in tokens.
	Tokens int
	// Trust is the smoothed ratio of cached to predicted tokens at the
	// endpoint, from 0 to 1.
	Trust float64
}

// NewPrefixCacheIndex returns an empty index that tracks up to limit prefixes.
func NewPrefixCacheIndex(limit int) *PrefixCacheIndex {
	return &PrefixCacheIndex{
		maxEntries: max(2, limit),
		recent:     make(map[uint64]prefixEndpoints),
		older:      make(map[uint64]prefixEndpoints),
		endpoints:  make(map[string]*endpointCache),
	}
}

// ApplyEvent applies a cache event of an endpoint. Duplicate and out-of-order
// events are applied as well, because the cost of a wrong prediction is bounded.
func (x *PrefixCacheIndex) ApplyEvent(now time.Time, endpoint string, event backing.CacheEvent) {
	cache := x.cacheOf(endpoint)
	if cache.sequence != 0 && event.Sequence > cache.sequence+1 {
		cache.trust *= trustGapFactor
	}
	cache.sequence = max(cache.sequence, event.Sequence)
	if event.Evicted {
		x.evict(event.Prefix, cache)
		return
	}
	x.add(now, event.Prefix, cache)
}

// RecordDispatch records that a prompt with these prefix hashes was sent to the
// endpoint, which is therefore expected to cache them.
func (x *PrefixCacheIndex) RecordDispatch(now time.Time, endpoint string, prefix []uint64) {
	cache := x.cacheOf(endpoint)
	for _, h := range prefix {
		x.add(now, h, cache)
	}
}

// RecordOutcome updates the endpoint's trust from the number of prompt tokens
// predicted to be cached and the number that its cache served.
func (x *PrefixCacheIndex) RecordOutcome(endpoint string, predicted, cached int) {
	if predicted <= 0 {
		return
	}
	cache := x.cacheOf(endpoint)
	ratio := min(1, float64(cached)/float64(predicted))
	cache.trust += trustWeight * (ratio - cache.trust)
}

// Forget discards all predictions for an endpoint, for example after its engine
// restarted.
func (x *PrefixCacheIndex) Forget(endpoint string) {
	if cache := x.endpoints[endpoint]; cache != nil {
		cache.removed = true
		delete(x.endpoints, endpoint)
	}
}

// Len returns the number of tracked prefixes.
func (x *PrefixCacheIndex) Len() int { return len(x.recent) + len(x.older) }

// lookup appends to matches the endpoints predicted to cache a prefix of the
// prompt, longest prefix first, up to maxMatches.
func (x *PrefixCacheIndex) lookup(now time.Time, prefix []uint64, matches []Match) []Match {
	for i := len(prefix) - 1; i >= 0 && len(matches) < maxMatches; i-- {
		entries, ok := x.get(prefix[i])
		if !ok {
			continue
		}
		for _, e := range entries {
			if e.cache == nil || e.cache.removed || now.Sub(e.updatedAt) > prefixCacheTTL {
				continue
			}
			if len(matches) < maxMatches && !hasMatch(matches, e.cache.name) {
				matches = append(matches, Match{
					Endpoint: e.cache.name,
					Tokens:   (i + 1) * backing.KVBlockTokens,
					Trust:    e.cache.trust,
				})
			}
		}
	}
	return matches
}

func (x *PrefixCacheIndex) get(hash uint64) (prefixEndpoints, bool) {
	if entries, ok := x.recent[hash]; ok {
		return entries, true
	}
	entries, ok := x.older[hash]
	return entries, ok
}

// add records that the endpoint caches the prefix and moves it to the front of
// the prefix's endpoints.
func (x *PrefixCacheIndex) add(now time.Time, hash uint64, cache *endpointCache) {
	entries, _ := x.get(hash)
	pos := maxEndpointsPerPrefix - 1
	for i, e := range entries {
		if e.cache == cache {
			pos = i
			break
		}
	}
	copy(entries[1:pos+1], entries[:pos])
	entries[0] = prefixEndpoint{cache: cache, updatedAt: now}
	delete(x.older, hash)
	x.recent[hash] = entries
	if len(x.recent) >= x.maxEntries/2 {
		x.older, x.recent = x.recent, x.older
		clear(x.recent)
	}
}

func (x *PrefixCacheIndex) evict(hash uint64, cache *endpointCache) {
	entries, ok := x.get(hash)
	if !ok {
		return
	}
	for i := range entries {
		if entries[i].cache == cache {
			entries[i] = prefixEndpoint{}
		}
	}
	if _, inRecent := x.recent[hash]; inRecent {
		x.recent[hash] = entries
		return
	}
	x.older[hash] = entries
}

func (x *PrefixCacheIndex) cacheOf(endpoint string) *endpointCache {
	cache := x.endpoints[endpoint]
	if cache == nil {
		cache = &endpointCache{name: endpoint, trust: initialTrust}
		x.endpoints[endpoint] = cache
	}
	return cache
}
