package control

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/pool"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/acacialink/acacialink/internal/standin/provider"
)

// site is a pool with a store, a provider and hosts that take turns.
type site struct {
	store    *kv.Store
	provider *provider.Provider
	// lose says whether the next answer of the provider is lost.
	lose   func() bool
	holder *snapshot.Holder
	leases map[string]int64
	fence  int64
	// demand is the decode demand on the whole pool, in tokens a second.
	demand    float64
	generated map[string]float64
	at        time.Time
}

// lossy is the provider with lost answers.
type lossy struct {
	*provider.Provider
	site *site
}

func (l lossy) Order(ctx context.Context, o backing.EndpointOrder) (backing.ProvidedEndpoint, error) {
	e, err := l.Provider.Order(ctx, o)
	if l.site.lose() {
		return backing.ProvidedEndpoint{}, backing.ErrUnknown
	}
	return e, err
}

func (l lossy) Return(ctx context.Context, id string, fence int64, issuer string) error {
	err := l.Provider.Return(ctx, id, fence, issuer)
	if l.site.lose() {
		return backing.ErrUnknown
	}
	return err
}

// hostLeases is the leases as one host sees them.
type hostLeases struct {
	site *site
	host string
}

func (l hostLeases) Held(string) (int64, time.Time, bool) {
	fence, ok := l.site.leases[l.host]
	return fence, time.Now().Add(3 * time.Second), ok
}

// Describe spreads the demand over the running endpoints.
func (s *site) Describe(_ context.Context, endpoint, _ string) (*wire.AgentState, error) {
	return &wire.AgentState{Endpoint: endpoint, Ready: true, Role: "mixed", GeneratedTokens: int64(s.generated[endpoint])}, nil
}

// serve lets the endpoints do what came since the last call.
func (s *site) serve() {
	endpoints := poolEndpoints(s.holder.Current(), "p", "")
	elapsed := time.Since(s.at).Seconds()
	s.at = time.Now()
	for _, e := range endpoints {
		s.generated[e.Name] += s.demand * elapsed / float64(len(endpoints))
	}
}

func newPoolSite(t *testing.T) *site {
	t.Helper()
	s := &site{store: kv.New(kv.Options{}), leases: make(map[string]int64), generated: make(map[string]float64), at: time.Now()}
	s.lose = func() bool { return false }
	s.provider = provider.New(provider.Options{})
	s.holder = snapshot.NewHolder(snapshot.HolderOptions{
		Host: "a", Domain: "north", Log: snapshot.NewLog(s.store, slog.New(slog.DiscardHandler)),
		Directory: func() []snapshot.Peer { return []snapshot.Peer{{Name: "a", Domain: "north"}} },
	})
	spec, err := json.Marshal(resource.PoolSpec{Model: "m", Domains: []string{"north", "south"}, Min: 1, Max: 6, DecodeTokens: 1000, PrefillTokens: 10_000, StartSeconds: 60})
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.holder.Change(t.Context(), func(*snapshot.View) (snapshot.Change, error) {
		r := resource.Resource{Kind: resource.KindPool, Name: "p", Generation: 1, Spec: spec}
		return snapshot.Change{Items: []snapshot.Item{{Resource: r}}}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *site) newPools(host string) *Pools {
	settings := pool.DefaultSettings()
	settings.ReturnAfter = 2 * time.Minute
	return NewPools(PoolOptions{
		Host: host, Marks: record.NewWriteTokens(host, "1"), Leases: hostLeases{s, host}, Config: s.holder, Agents: s,
		Provider: lossy{s.provider, s}, Store: s.store, Settings: settings,
		Interval: 5 * time.Second, Log: slog.New(slog.DiscardHandler),
	})
}

func (s *site) elect(host string) {
	s.fence++
	s.leases[host] = s.fence
}

// billed is the orders that the platform runs and bills, by ID.
func (s *site) billed(t *testing.T) map[string]bool {
	t.Helper()
	list, err := s.provider.Provided(t.Context(), "p")
	if err != nil {
		t.Fatal(err)
	}
	running := make(map[string]bool)
	for _, e := range list {
		if e.State == backing.ProvidedRunning || e.State == backing.ProvidedStarting {
			running[e.OrderID] = true
		}
	}
	return running
}

func (s *site) run(ctx context.Context, hosts []*Pools, length time.Duration, disturb func()) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Second) {
		disturb()
		s.serve()
		for _, p := range hosts {
			p.Step(ctx)
		}
	}
}

func TestPoolFollowsDemandUpAndDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newPoolSite(t)
		s.elect("a")
		hosts := []*Pools{s.newPools("a")}
		s.run(t.Context(), hosts, 10*time.Minute, func() {})
		is.Equal(len(s.billed(t)), 2)
		s.demand = 4000
		s.run(t.Context(), hosts, 20*time.Minute, func() {})
		up := len(s.billed(t))
		is.True(up >= 6)
		is.Equal(len(poolEndpoints(s.holder.Current(), "p", "")), up)
		s.demand = 0
		s.run(t.Context(), hosts, 60*time.Minute, func() {})
		is.Equal(len(s.billed(t)), 2)
		is.Equal(len(poolEndpoints(s.holder.Current(), "p", "")), 2)
		s.store.Close()
	})
}

// TestNoEndpointIsOrphanedOrOrderedTwice lets holders change at any step, with
// an old one that goes on believing, and answers of store and platform lost.
func TestNoEndpointIsOrphanedOrOrderedTwice(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 7))
				s := newPoolSite(t)
				s.lose = func() bool { return rnd.IntN(3) == 0 }
				hosts := []*Pools{s.newPools("a"), s.newPools("b"), s.newPools("c")}
				s.elect("a")
				disturb := func() {
					switch rnd.IntN(10) {
					case 0:
						s.elect([]string{"a", "b", "c"}[rnd.IntN(3)])
					case 1:
						s.store.LoseNext(1 + rnd.IntN(2))
					case 2:
						s.store.SetDown(rnd.IntN(2) == 0)
					case 3:
						s.demand = float64(rnd.IntN(6) * 1000)
					}
				}
				s.run(t.Context(), hosts, 2*time.Hour, disturb)
				s.store.SetDown(false)
				s.lose = func() bool { return false }
				s.leases = map[string]int64{}
				s.elect("b")
				s.demand = 0
				s.run(t.Context(), hosts, 2*time.Hour, func() {})
				known := make(map[string]bool)
				for _, o := range hosts[1].pools["p"].orders.Value().Orders {
					known[o.ID] = true
				}
				for id := range s.billed(t) {
					is.True(known[id]) // an endpoint is billed that no record names
				}
				is.Equal(len(s.billed(t)), 2)
				s.store.Close()
			})
		})
	}
}
