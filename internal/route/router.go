package route

import (
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Router is a Set and a Policy behind one lock, with the accounting of the
// entry host's own work. It is safe for concurrent use; no call blocks on
// anything but the lock.
type Router struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	set    *Set
	policy Policy
	// picker is policy when that is a *Picker, and nil otherwise.
	picker *Picker
	known  map[string]*endpoint
}

// endpoint is the router's own record of an agent's start.
type endpoint struct {
	incarnation string
	own         Work
	gap         Gap
}

// NewRouter returns a router without endpoints. It takes over the policy.
func NewRouter(p Policy) *Router {
	picker, _ := p.(*Picker)
	return &Router{
		set:    NewSet(),
		policy: p,
		picker: picker,
		known:  make(map[string]*endpoint),
	}
}

// Observe takes the state that an agent sent with an answer or a heartbeat.
func (r *Router) Observe(now time.Time, st *wire.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[st.GetEndpoint()]
	if e == nil {
		e = &endpoint{incarnation: st.GetIncarnation()}
		r.known[st.GetEndpoint()] = e
	}
	if e.incarnation != st.GetIncarnation() {
		e.incarnation = st.GetIncarnation()
		r.forgetCache(st.GetEndpoint())
	}
	c := candidateOf(now, st, e.own)
	c.Gap = e.gap
	r.set.Put(c)
	r.events(now, st)
}

// Remove forgets an endpoint whose session has ended or which is gone.
func (r *Router) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.known, name)
	r.set.Remove(name)
	r.forgetCache(name)
}

// SetDistance records the round-trip time from one domain to another.
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
	return r.start(now, req, d), nil
}

// Predict returns the prompt tokens that an endpoint's cache will probably
// serve, as Pick would credit them; it chooses nothing.
func (r *Router) Predict(now time.Time, req *Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker == nil {
		return 0
	}
	return r.picker.predict(now, req)
}

// Split chooses two endpoints for the request's phases where that pays, and
// counts both as Pick does. It returns false otherwise.
func (r *Router) Split(now time.Time, req *Request) (prefill, decode *Flight, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker == nil {
		return nil, nil, false
	}
	s, ok := r.picker.SplitPrefill(now, req, r.set)
	if !ok {
		return nil, nil, false
	}
	first, second := *req, *req
	first.Phase, second.Phase = PhasePrefill, PhaseDecode
	return r.start(now, &first, s.Prefill), r.start(now, &second, s.Decode), true
}

// Candidates returns a copy of what is known of each endpoint, for dumps.
func (r *Router) Candidates() []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Candidate, 0, r.set.Len())
	for _, c := range r.set.byName {
		all = append(all, *c)
	}
	return all
}

// start counts the request at the endpoint. r.mu is held.
func (r *Router) start(now time.Time, req *Request, d Decision) *Flight {
	e := r.known[d.Endpoint]
	w := req.work()
	w.PromptTokens -= int64(d.PrefixTokens)
	f := &Flight{Decision: d, router: r, endpoint: e, work: w}
	f.add(w)
	if r.picker != nil && req.Phase != PhaseDecode {
		r.picker.Affinity.Dispatched(now, d.Endpoint, req.Prefix)
	}
	return f
}

// forgetCache drops predictions for the endpoint. r.mu is held.
func (r *Router) forgetCache(name string) {
	if r.picker != nil {
		r.picker.Affinity.Forget(name)
	}
}

// events takes the cache events of a state. r.mu is held.
func (r *Router) events(now time.Time, st *wire.AgentState) {
	if r.picker == nil {
		return
	}
	for _, e := range st.GetCacheEvents() {
		event := backing.CacheEvent{
			Sequence: e.GetSequence(),
			Prefix:   e.GetPrefix(),
			Evicted:  e.GetEvicted(),
		}
		r.picker.Affinity.Event(now, st.GetEndpoint(), event)
	}
}

func candidateOf(now time.Time, st *wire.AgentState, own Work) Candidate {
	return Candidate{
		Name:     st.GetEndpoint(),
		Domain:   st.GetDomain(),
		Role:     backing.Role(st.GetRole()),
		Ready:    st.GetReady(),
		Draining: st.GetDraining(),
		Models:   st.GetModels(),
		Adapters: st.GetAdapters(),
		Own:      own,
		Report: Report{
			At:                  now.Add(-time.Duration(st.GetAgeUs()) * time.Microsecond),
			Running:             int(st.GetRunning()),
			Waiting:             int(st.GetWaiting()),
			WaitingPromptTokens: st.GetWaitingPromptTokens(),
			FreePieces:          int(st.GetFreePieces()),
			TotalPieces:         int(st.GetTotalPieces()),
			Own:                 own,
		},
	}
}
