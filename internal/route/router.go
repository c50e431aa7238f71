package route

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Router guards a Set and a Policy with one lock and accounts for the entry
// host's own work. It is safe for concurrent use; its methods block only on the
// lock.
type Router struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	set    *Set
	policy Policy
	// costPolicy is policy if that is a *CostPolicy, and nil otherwise.
	costPolicy *CostPolicy
	records    map[string]*endpointRecord
}

// endpointRecord is the router's state for one endpoint that load reports do not
// replace.
type endpointRecord struct {
	incarnation string
	own         Work
	gap         TokenGap
}

// NewRouter returns a router without endpoints. The policy must not be used
// elsewhere afterwards.
func NewRouter(p Policy) *Router {
	costPolicy, _ := p.(*CostPolicy)
	return &Router{
		set:        NewSet(),
		policy:     p,
		costPolicy: costPolicy,
		records:    make(map[string]*endpointRecord),
	}
}

// Observe applies the state that an agent sent with a response or a heartbeat.
func (r *Router) Observe(now time.Time, st *wire.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.records[st.GetEndpoint()]
	if record == nil {
		record = &endpointRecord{incarnation: st.GetIncarnation()}
		r.records[st.GetEndpoint()] = record
	}
	if record.incarnation != st.GetIncarnation() {
		record.incarnation = st.GetIncarnation()
		r.forgetCache(st.GetEndpoint())
	}
	c := newCandidate(now, st, record.own)
	c.TokenGap = record.gap
	r.set.Put(c)
	r.applyCacheEvents(now, st)
}

// Remove deletes an endpoint that has left or whose session has ended.
func (r *Router) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, name)
	r.set.Remove(name)
	r.forgetCache(name)
}

// SetDistance records the round-trip time between two failure domains.
func (r *Router) SetDistance(from, to string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.SetDistance(from, to, d)
}

// Pick chooses an endpoint and counts the request as in flight there until
// Flight.Done. The error is a *verdict.Error with the verdict NotRun.
func (r *Router) Pick(now time.Time, req *Request) (*Flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, err := r.policy.Pick(now, req, r.set)
	if err != nil {
		return nil, err
	}
	return r.startFlight(now, req, d), nil
}

// PredictCachedTokens returns the number of prompt tokens predicted to be served
// from an endpoint's KV cache, with the same credit as in Pick. It chooses no
// endpoint, and returns 0 if the policy is not a *CostPolicy.
func (r *Router) PredictCachedTokens(now time.Time, req *Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.costPolicy == nil {
		return 0
	}
	return r.costPolicy.predictCachedTokens(now, req)
}

// Split chooses separate endpoints for prefill and decode if the predicted cost
// of that is lower, and counts the request at both as Pick does. It returns false
// otherwise.
func (r *Router) Split(now time.Time, req *Request) (prefill, decode *Flight, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.costPolicy == nil {
		return nil, nil, false
	}
	split, ok := r.costPolicy.SplitPrefill(now, req, r.set)
	if !ok {
		return nil, nil, false
	}
	prefillReq, decodeReq := *req, *req
	prefillReq.Phase, decodeReq.Phase = PhasePrefill, PhaseDecode
	return r.startFlight(now, &prefillReq, split.Prefill), r.startFlight(now, &decodeReq, split.Decode), true
}

// Candidates returns a copy of the cached state of all endpoints, for state dumps.
func (r *Router) Candidates() []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Candidate, 0, r.set.Len())
	for _, c := range r.set.byName {
		all = append(all, *c)
	}
	return all
}

// startFlight counts the request at the endpoint. r.mu is held.
func (r *Router) startFlight(now time.Time, req *Request, d Decision) *Flight {
	record := r.records[d.Endpoint]
	work := req.work()
	work.PromptTokens -= int64(d.PrefixTokens)
	f := &Flight{Decision: d, router: r, record: record, work: work}
	f.addWork(work)
	if r.costPolicy != nil && req.Phase != PhaseDecode {
		r.costPolicy.PrefixCache.RecordDispatch(now, d.Endpoint, req.Prefix)
	}
	return f
}

// forgetCache discards the cache predictions for the endpoint. r.mu is held.
func (r *Router) forgetCache(name string) {
	if r.costPolicy != nil {
		r.costPolicy.PrefixCache.Forget(name)
	}
}

// applyCacheEvents applies the cache events of an agent's state. r.mu is held.
func (r *Router) applyCacheEvents(now time.Time, st *wire.AgentState) {
	if r.costPolicy == nil {
		return
	}
	for _, e := range st.GetCacheEvents() {
		event := backing.CacheEvent{
			Sequence: e.GetSequence(),
			Prefix:   e.GetPrefix(),
			Evicted:  e.GetEvicted(),
		}
		r.costPolicy.PrefixCache.ApplyEvent(now, st.GetEndpoint(), event)
	}
}

func newCandidate(now time.Time, st *wire.AgentState, own Work) Candidate {
	return Candidate{
		Name:     st.GetEndpoint(),
		Domain:   st.GetDomain(),
		Role:     backing.Role(st.GetRole()),
		Ready:    st.GetReady(),
		Draining: st.GetDraining(),
		Models:   st.GetModels(),
		Adapters: st.GetAdapters(),
		OwnWork:  own,
		Report: LoadReport{
			MeasuredAt:          now.Add(-time.Duration(st.GetAgeUs()) * time.Microsecond),
			Running:             int(st.GetRunning()),
			Waiting:             int(st.GetWaiting()),
			WaitingPromptTokens: st.GetWaitingPromptTokens(),
			FreeKVBlocks:        int(st.GetFreePieces()),
			TotalKVBlocks:       int(st.GetTotalPieces()),
			OwnWork:             own,
		},
	}
}
