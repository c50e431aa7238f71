package route

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

const (
	// DefaultAffinityEntries bounds the prefixes that are remembered.
	DefaultAffinityEntries = 1 << 16
	// maxHolders bounds the endpoints that are remembered for one prefix.
	maxHolders = 4
	// maxMatches bounds the endpoints that a lookup returns.
	maxMatches = 4
	// affinityLifetime is how long a prefix is believed to stay cached
	// without news.
	affinityLifetime = 10 * time.Minute
	// trustStep is the weight of the latest outcome in an endpoint's trust.
	trustStep = 0.1
	// trustStart is the trust in an endpoint of which nothing is known.
	trustStart = 0.7
	// trustAfterGap scales trust when events were missed.
	trustAfterGap = 0.8
)

// Affinity predicts which endpoints have a prompt's prefix in their cache,
// from cache events that come late and with gaps and from the host's own
// dispatches. Its memory is bounded: the oldest half is dropped when it is
// full. A prediction is weighed by the endpoint's trust, which falls with
// each hit that did not come true. It is not safe for concurrent use.
type Affinity struct {
	limit     int
	young     map[uint64]holders
	old       map[uint64]holders
	endpoints map[string]*cacheView
}

// holders are the endpoints that hold one prefix.
type holders [maxHolders]holder

type holder struct {
	view *cacheView
	at   time.Time
}

// cacheView is what is known of one endpoint's cache.
type cacheView struct {
	name     string
	sequence uint64
	trust    float64
	gone     bool
}

// Match is an endpoint that probably holds a part of a prompt.
type Match struct {
	Endpoint string
	// Tokens is the length of the prefix that it holds.
	Tokens int
	// Trust is how often such predictions came true there, from 0 to 1.
	Trust float64
}

// NewAffinity returns an empty Affinity that remembers up to limit prefixes.
func NewAffinity(limit int) *Affinity {
	return &Affinity{
		limit:     max(2, limit),
		young:     make(map[uint64]holders),
		old:       make(map[uint64]holders),
		endpoints: make(map[string]*cacheView),
	}
}

// Event takes one cache event of an endpoint. Events that repeat or come
// behind a later one are taken all the same: a wrong one costs little.
func (a *Affinity) Event(now time.Time, endpoint string, e backing.CacheEvent) {
	v := a.view(endpoint)
	if v.sequence != 0 && e.Sequence > v.sequence+1 {
		v.trust *= trustAfterGap
	}
	v.sequence = max(v.sequence, e.Sequence)
	if e.Evicted {
		a.drop(e.Prefix, v)
		return
	}
	a.add(now, e.Prefix, v)
}

// Dispatched records that a prompt with these prefixes went to the endpoint,
// which will have them cached soon.
func (a *Affinity) Dispatched(now time.Time, endpoint string, prefix []uint64) {
	v := a.view(endpoint)
	for _, h := range prefix {
		a.add(now, h, v)
	}
}

// Outcome records how many of the predicted prompt tokens the endpoint really
// had in its cache.
func (a *Affinity) Outcome(endpoint string, predicted, cached int) {
	if predicted <= 0 {
		return
	}
	v := a.view(endpoint)
	share := min(1, float64(cached)/float64(predicted))
	v.trust += trustStep * (share - v.trust)
}

// Forget drops what is known of an endpoint, after its engine restarted.
func (a *Affinity) Forget(endpoint string) {
	if v := a.endpoints[endpoint]; v != nil {
		v.gone = true
		delete(a.endpoints, endpoint)
	}
}

// Len is the number of remembered prefixes.
func (a *Affinity) Len() int { return len(a.young) + len(a.old) }

// lookup appends the endpoints that hold the longest parts of the prefix.
func (a *Affinity) lookup(now time.Time, prefix []uint64, found []Match) []Match {
	for i := len(prefix) - 1; i >= 0 && len(found) < maxMatches; i-- {
		hs, ok := a.get(prefix[i])
		if !ok {
			continue
		}
		for _, h := range hs {
			if h.view == nil || h.view.gone || now.Sub(h.at) > affinityLifetime {
				continue
			}
			if len(found) < maxMatches && !matched(found, h.view.name) {
				found = append(found, Match{
					Endpoint: h.view.name,
					Tokens:   (i + 1) * backing.PieceTokens,
					Trust:    h.view.trust,
				})
			}
		}
	}
	return found
}

func (a *Affinity) get(hash uint64) (holders, bool) {
	if hs, ok := a.young[hash]; ok {
		return hs, true
	}
	hs, ok := a.old[hash]
	return hs, ok
}

// add puts the endpoint first among the holders of the prefix.
func (a *Affinity) add(now time.Time, hash uint64, v *cacheView) {
	hs, _ := a.get(hash)
	at := maxHolders - 1
	for i, h := range hs {
		if h.view == v {
			at = i
			break
		}
	}
	copy(hs[1:at+1], hs[:at])
	hs[0] = holder{view: v, at: now}
	delete(a.old, hash)
	a.young[hash] = hs
	if len(a.young) >= a.limit/2 {
		a.old, a.young = a.young, a.old
		clear(a.young)
	}
}

func (a *Affinity) drop(hash uint64, v *cacheView) {
	hs, ok := a.get(hash)
	if !ok {
		return
	}
	for i := range hs {
		if hs[i].view == v {
			hs[i] = holder{}
		}
	}
	if _, young := a.young[hash]; young {
		a.young[hash] = hs
		return
	}
	a.old[hash] = hs
}

func (a *Affinity) view(endpoint string) *cacheView {
	v := a.endpoints[endpoint]
	if v == nil {
		v = &cacheView{name: endpoint, trust: trustStart}
		a.endpoints[endpoint] = v
	}
	return v
}
