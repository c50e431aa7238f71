package quota

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

var testLimits = map[string]Limit{
	"steady": {Rate: 2000, Burst: 20000},
	"greedy": {Rate: 2000, Burst: 20000},
}

// runResult is what one run showed.
type runResult struct {
	excess    []Excess
	log       []Consumption
	steady    float64 // share of refusals of "steady"
	admitted  map[string]int64
	exchanges int
	sent      int
}

// scenario is a load and the faults that come with it.
type scenario struct {
	name  string
	hosts int
	// greedy are the hosts that "greedy" sends five times its rate to.
	greedy []int
	// steady are the hosts that "steady" sends 0.7 of its rate to.
	steady []int
	waves  bool
	script func(ctx context.Context, f *fleet)
	// maxRefused bounds the refusals of "steady".
	maxRefused float64
}

const runTime = 60 * time.Second

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func (s *scenario) run(t *testing.T, seed uint64) runResult {
	var o runResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, seed, s.hosts, testLimits)
		loads := []load{
			{workspace: "steady", tokens: 1400, hosts: s.steady, seed: seed},
			{workspace: "greedy", tokens: 10000, hosts: s.greedy, seed: seed + 1, waves: s.waves},
		}
		for _, l := range loads {
			go f.offer(l, runTime)
		}
		if s.script != nil {
			go s.script(ctx, f)
		}
		time.Sleep(runTime + 30*time.Second)
		f.mu.Lock()
		o = f.outcome()
		f.mu.Unlock()
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
	return o
}

func (f *fleet) outcome() runResult {
	o := runResult{
		excess: Audit(f.limits, f.log), log: f.log, exchanges: f.exchanges,
		admitted: make(map[string]int64),
		steady:   float64(f.refused["steady"]) / float64(max(1, f.sent["steady"])),
	}
	for _, c := range f.log {
		o.admitted[c.Workspace] += c.Tokens
	}
	for _, n := range f.sent {
		o.sent += n
	}
	return o
}

// set changes the faults after a while.
func (f *fleet) set(after time.Duration, change func(*faults)) {
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

func lossy(_ context.Context, f *fleet) {
	f.set(0, func(x *faults) { x.loss, x.late, x.lateBy = 0.15, 0.1, 12*time.Second })
}

func partition(_ context.Context, f *fleet) {
	f.set(15*time.Second, func(x *faults) { x.cut = true })
	f.set(20*time.Second, func(x *faults) { x.cut = false })
}

// blackout loses all messages from the end of the first wave until the next
// one has begun and the first one's reservations are settled.
func blackout(_ context.Context, f *fleet) {
	f.set(waveOn, func(x *faults) { x.loss = 1 })
	f.set(waveEvery-waveOn+3*time.Second/2, func(x *faults) { x.loss = 0 })
}

func storeOutage(_ context.Context, f *fleet) {
	f.set(15*time.Second, func(x *faults) { x.storeDown = true })
	f.set(25*time.Second, func(x *faults) { x.storeDown = false })
}

// crashes kills the owner of each part in turn and restarts it as a new process.
func crashes(ctx context.Context, f *fleet) {
	for i := range 4 {
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		h := f.parts[i%partCount].owner
		f.mu.Unlock()
		f.crash(h)
		time.Sleep(5 * time.Second)
		f.start(ctx, h, fmt.Sprint("restart", i))
	}
}

func everything(ctx context.Context, f *fleet) {
	go lossy(ctx, f)
	go partition(ctx, f)
	go storeOutage(ctx, f)
	crashes(ctx, f)
}

func scenarios() []scenario {
	return []scenario{
		{name: "calm", maxRefused: 0.02},
		{name: "one host", greedy: []int{2}, steady: []int{3}, maxRefused: 0.02},
		{name: "waves", waves: true, maxRefused: 0.02},
		{name: "waves and blackout", waves: true, script: blackout, maxRefused: 0.35},
		{name: "lossy", script: lossy, maxRefused: 0.35},
		{name: "partition", script: partition, maxRefused: 0.35},
		{name: "store outage", script: storeOutage, maxRefused: 0.30},
		{name: "crashes", script: crashes, maxRefused: 0.45},
		{name: "everything", script: everything, maxRefused: 1},
	}
}

func TestNoExcessThroughFaults(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios() {
		s.hosts = 8
		if s.greedy == nil {
			s.greedy, s.steady = upTo(8), upTo(8)
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				is := is.New(t)
				o := s.run(t, seed)
				t.Logf("seed %d: %d requests, %d exchanges, steady refused %.3f, greedy admitted %.2f of rate and burst",
					seed, o.sent, o.exchanges, o.steady, float64(o.admitted["greedy"])/(2000*60+20000))
				is.Equal(len(o.excess), 0)
				is.True(o.steady <= s.maxRefused)
				is.True(o.admitted["greedy"] > 0)
			}
		})
	}
}

// TestAuditCatchesBrokenLimiters breaks the rules that the limit rests on,
// one at a time.
func TestAuditCatchesBrokenLimiters(t *testing.T) {
	t.Parallel()
	broken := []struct {
		name   string
		waves  bool
		script func(context.Context, *fleet)
		faults faults
	}{
		{
			name: "grants are not counted as outstanding", waves: true,
			faults: faults{tamper: func(r *wire.QuotaRequest, _ *wire.QuotaGrant) {
				if r != nil && !r.GetClose() {
					r.SpentTokens, r.ReturnedTokens = r.GetReceivedTokens(), 0
				}
			}},
		},
		{
			name: "grants outlive the owner's count", waves: true, script: blackout,
			faults: faults{tamper: func(_ *wire.QuotaRequest, g *wire.QuotaGrant) {
				if g != nil {
					g.ExpiresUs *= 20
				}
			}},
		},
		{
			name: "grants arrive twice",
			faults: faults{tamper: func(_ *wire.QuotaRequest, g *wire.QuotaGrant) {
				if g != nil {
					g.GrantedTokens *= 2
				}
			}},
		},
		{name: "takeover with full buckets", script: crashes, faults: faults{freshTakeover: true}},
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := scenario{hosts: 8, greedy: upTo(8), steady: upTo(8), waves: b.waves}
			s.script = func(ctx context.Context, f *fleet) {
				f.set(0, func(x *faults) { *x = b.faults })
				if b.script != nil {
					b.script(ctx, f)
				}
			}
			found := s.run(t, 1).excess
			t.Logf("%d excesses", len(found))
			is.True(len(found) > 0)
		})
	}
}
