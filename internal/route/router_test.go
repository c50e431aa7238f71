package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

func newTestCostPolicy() *CostPolicy { return NewCostPolicy(rand.New(rand.NewPCG(1, 2))) }

func testState(name string) *wire.AgentState {
	return &wire.AgentState{
		Endpoint: name, Domain: "north", Incarnation: "1", Ready: true, Role: "mixed",
		Models: []string{"m"}, FreePieces: 100, TotalPieces: 100,
	}
}

func testRequest() *Request {
	return &Request{Model: "m", PromptTokens: 1000, MaxTokens: 100, Priority: 1, Domain: "north"}
}

func TestRouterSpreadsOwnWorkBetweenReports(t *testing.T) {
	is := is.New(t)
	r := NewRouter(newTestCostPolicy())
	now := time.Unix(1000, 0)
	for i := range 4 {
		r.Observe(now, testState(fmt.Sprint("e", i)))
	}
	count := make(map[string]int)
	var flights []*Flight
	for range 40 {
		f, err := r.Pick(now, testRequest())
		is.NoErr(err)
		count[f.Endpoint]++
		flights = append(flights, f)
	}
	for _, n := range count {
		is.Equal(n, 10)
	}
	for _, f := range flights {
		f.PrefillDone()
		f.Done(-1)
		f.Done(-1)
	}
	for _, c := range r.Candidates() {
		is.Equal(c.OwnWork, Work{})
	}
}

func TestRouterOwnWorkAfterModelChangeAndRemoval(t *testing.T) {
	is := is.New(t)
	r := NewRouter(newTestCostPolicy())
	now := time.Unix(1000, 0)
	r.Observe(now, testState("a"))
	f, err := r.Pick(now, testRequest())
	is.NoErr(err)
	st := testState("a")
	st.Models = []string{"m", "n"}
	r.Observe(now, st)
	is.Equal(r.Candidates()[0].OwnWork.Requests, 1)
	r.Remove("a")
	r.Observe(now, st)
	f.Done(0)
	is.Equal(r.Candidates()[0].OwnWork, Work{})
}

func TestPickRefusesWithNotRun(t *testing.T) {
	policies := map[string]Policy{
		"picker": newTestCostPolicy(), "round robin": &RoundRobin{}, "least": LeastReported{},
		"two choices": &TwoChoices{Rand: rand.New(rand.NewPCG(1, 2))},
	}
	for name, p := range policies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSet(
				Candidate{Name: "draining", Ready: true, Draining: true, Models: []string{"m"}},
				Candidate{Name: "loading", Models: []string{"m"}},
				Candidate{Name: "other", Ready: true, Models: []string{"n"}},
				Candidate{Name: "tried", Ready: true, Models: []string{"m"}},
			)
			req := testRequest()
			req.Exclude = map[string]struct{}{"tried": {}}
			_, err := p.Pick(time.Unix(1, 0), req, s)
			is.True(err != nil)
			is.Equal(verdict.Of(err), verdict.NotRun)
			is.True(verdict.As(err).RetryAfter > 0)
			req.Exclude = nil
			d, err := p.Pick(time.Unix(1, 0), req, s)
			is.NoErr(err)
			is.Equal(d.Endpoint, "tried")
		})
	}
}

func TestPickFindsSingleEligibleEndpoint(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	for i := range 3000 {
		s.Put(Candidate{Name: fmt.Sprint(i), Draining: i != 1234, Ready: true, Models: []string{"m"}})
	}
	for range 50 {
		d, err := newTestCostPolicy().Pick(time.Unix(1, 0), testRequest(), s)
		is.NoErr(err)
		is.Equal(d.Endpoint, "1234")
	}
}

func TestPrefixPredictionCreditIsBounded(t *testing.T) {
	is := is.New(t)
	p := newTestCostPolicy()
	now := time.Unix(1000, 0)
	prefix := make([]uint64, 40)
	for i := range prefix {
		prefix[i] = uint64(i + 1)
	}
	p.PrefixCache.RecordDispatch(now, "a", prefix)
	idle := Candidate{Name: "b", Ready: true, Domain: "north", Models: []string{"m"}}
	busy := Candidate{Name: "a", Ready: true, Domain: "north", Models: []string{"m"}}
	req := testRequest()
	req.PromptTokens, req.Prefix = 40000, prefix
	d, err := p.Pick(now, req, NewSet(idle, busy))
	is.NoErr(err)
	is.Equal(d.Endpoint, "a")
	// A backlog larger than the credit cap outweighs any predicted hit.
	busy.OwnWork.PromptTokens = int64(p.CostModel.MaxPrefixTokens) + 1
	d, err = p.Pick(now, req, NewSet(idle, busy))
	is.NoErr(err)
	is.Equal(d.Endpoint, "b")
	// Cache misses lower the trust until a small backlog outweighs the credit.
	for range 40 {
		p.PrefixCache.RecordOutcome("a", 8000, 0)
	}
	busy.OwnWork.PromptTokens = 200
	d, err = p.Pick(now, req, NewSet(idle, busy))
	is.NoErr(err)
	is.Equal(d.Endpoint, "b")
}

func TestPrefixCacheIndexSequenceGapsAndMemoryBound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := NewPrefixCacheIndex(100)
	a.ApplyEvent(now, "a", backing.CacheEvent{Sequence: 1, Prefix: 7})
	matches := a.lookup(now, []uint64{7, 8}, nil)
	is.Equal(matches, []Match{{Endpoint: "a", Tokens: 1000, Trust: initialTrust}})
	a.ApplyEvent(now, "a", backing.CacheEvent{Sequence: 5, Prefix: 8})
	matches = a.lookup(now, []uint64{7, 8}, nil)
	is.Equal(matches[0].Tokens, 2000)
	is.True(matches[0].Trust < initialTrust)
	a.ApplyEvent(now, "a", backing.CacheEvent{Sequence: 6, Prefix: 8, Evicted: true})
	is.Equal(a.lookup(now, []uint64{7, 8}, nil)[0].Tokens, 1000)
	is.Equal(len(a.lookup(now.Add(prefixCacheTTL+1), []uint64{7}, nil)), 0)
	for i := range uint64(10000) {
		a.ApplyEvent(now, "b", backing.CacheEvent{Sequence: i, Prefix: i})
		is.True(a.Len() <= 100)
	}
	a.Forget("b")
	is.Equal(len(a.lookup(now, []uint64{9999}, nil)), 0)
}

func TestStaleReportIsBlendedWithMean(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	busy := LoadReport{MeasuredAt: now, Running: 20, WaitingPromptTokens: 4000}
	light := LoadReport{MeasuredAt: now, Running: 15, WaitingPromptTokens: 2500}
	idle := LoadReport{MeasuredAt: now.Add(-time.Minute)}
	s := NewSet(
		Candidate{Name: "busy", Ready: true, Domain: "north", Models: []string{"m"}, Report: busy},
		Candidate{Name: "light", Ready: true, Domain: "north", Models: []string{"m"}, Report: busy},
		Candidate{Name: "stale", Ready: true, Domain: "north", Models: []string{"m"}, Report: idle},
	)
	s.Put(Candidate{Name: "light", Ready: true, Domain: "north", Models: []string{"m"}, Report: light})
	d, err := newTestCostPolicy().Pick(now, testRequest(), s)
	is.NoErr(err)
	is.Equal(d.Endpoint, "stale")
	// A fresh report of below-average load wins over a stale idle report.
	light.Running, light.WaitingPromptTokens = 2, 100
	s.Put(Candidate{Name: "light", Ready: true, Domain: "north", Models: []string{"m"}, Report: light})
	d, err = newTestCostPolicy().Pick(now, testRequest(), s)
	is.NoErr(err)
	is.Equal(d.Endpoint, "light")
}

func TestSplitPrefillForLongPromptsUnderLoad(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	models := []string{"m"}
	s := NewSet(
		Candidate{Name: "p", Ready: true, Domain: "north", Role: backing.RolePrefill, Models: models},
		Candidate{Name: "d", Ready: true, Domain: "north", Role: backing.RoleDecode, Models: models},
		Candidate{Name: "x", Ready: true, Domain: "north", Role: backing.RoleMixed, Models: models, OwnWork: Work{PromptTokens: 9000, Requests: 9}},
	)
	req := testRequest()
	_, ok := newTestCostPolicy().SplitPrefill(now, req, s)
	is.True(!ok)
	req.PromptTokens = 5000
	split, ok := newTestCostPolicy().SplitPrefill(now, req, s)
	is.True(ok)
	is.Equal(split.Prefill.Endpoint, "p")
	is.Equal(split.Decode.Endpoint, "d")
	s.Get("x").OwnWork = Work{}
	_, ok = newTestCostPolicy().SplitPrefill(now, req, s)
	is.True(!ok)
}
