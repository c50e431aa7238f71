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

// scenarioResult is the outcome of one scenario run.
type scenarioResult struct {
	excess             []Excess
	log                []Consumption
	steadyRefusedShare float64 // share of refused requests of "steady"
	admitted           map[string]int64
	exchanges          int
	sent               int
}

// scenario is a load together with injected faults.
type scenario struct {
	name  string
	hosts int
	// greedy are the numbers of the hosts that receive the load of "greedy",
	// five times its rate.
	greedy []int
	// steady are the numbers of the hosts that receive the load of "steady",
	// 0.7 of its rate.
	steady []int
	waves  bool
	script func(ctx context.Context, f *fleet)
	// maxRefused is the highest permitted share of refused requests of
	// "steady".
	maxRefused float64
}

const runTime = 60 * time.Second

func hostNumbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func (s *scenario) run(t *testing.T, seed uint64) scenarioResult {
	var result scenarioResult
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
		result = f.result()
		f.mu.Unlock()
		cancel()
		time.Sleep(time.Minute) // let all goroutines exit
	})
	return result
}

func (f *fleet) result() scenarioResult {
	result := scenarioResult{
		excess: Audit(f.limits, f.log), log: f.log, exchanges: f.exchanges,
		admitted:           make(map[string]int64),
		steadyRefusedShare: float64(f.refused["steady"]) / float64(max(1, f.sent["steady"])),
	}
	for _, c := range f.log {
		result.admitted[c.Workspace] += c.Tokens
	}
	for _, n := range f.sent {
		result.sent += n
	}
	return result
}

// changeFaults changes the injected faults after a delay.
func (f *fleet) changeFaults(after time.Duration, change func(*faults)) {
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

func loseAndDelayMessages(_ context.Context, f *fleet) {
	f.changeFaults(0, func(x *faults) { x.loss, x.late, x.lateBy = 0.15, 0.1, 12*time.Second })
}

func partitionHosts(_ context.Context, f *fleet) {
	f.changeFaults(15*time.Second, func(x *faults) { x.partitioned = true })
	f.changeFaults(20*time.Second, func(x *faults) { x.partitioned = false })
}

// loseMessagesBetweenWaves drops all messages from the end of the first wave
// until the next one has begun and the reservations of the first are settled.
func loseMessagesBetweenWaves(_ context.Context, f *fleet) {
	f.changeFaults(waveDuration, func(x *faults) { x.loss = 1 })
	f.changeFaults(wavePeriod-waveDuration+3*time.Second/2, func(x *faults) { x.loss = 0 })
}

func stopStore(_ context.Context, f *fleet) {
	f.changeFaults(15*time.Second, func(x *faults) { x.storeDown = true })
	f.changeFaults(25*time.Second, func(x *faults) { x.storeDown = false })
}

// crashOwners kills the owner of each part in turn and restarts it under a new
// incarnation.
func crashOwners(ctx context.Context, f *fleet) {
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

func injectAllFaults(ctx context.Context, f *fleet) {
	go loseAndDelayMessages(ctx, f)
	go partitionHosts(ctx, f)
	go stopStore(ctx, f)
	crashOwners(ctx, f)
}

func scenarios() []scenario {
	return []scenario{
		{name: "calm", maxRefused: 0.02},
		{name: "one host", greedy: []int{2}, steady: []int{3}, maxRefused: 0.02},
		{name: "waves", waves: true, maxRefused: 0.02},
		{name: "waves and message loss", waves: true, script: loseMessagesBetweenWaves, maxRefused: 0.35},
		{name: "lossy", script: loseAndDelayMessages, maxRefused: 0.35},
		{name: "partition", script: partitionHosts, maxRefused: 0.35},
		{name: "store outage", script: stopStore, maxRefused: 0.30},
		{name: "crashes", script: crashOwners, maxRefused: 0.45},
		{name: "everything", script: injectAllFaults, maxRefused: 1},
	}
}

func TestLimiterEnforcesLimitsUnderFaults(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios() {
		s.hosts = 8
		if s.greedy == nil {
			s.greedy, s.steady = hostNumbers(8), hostNumbers(8)
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				is := is.New(t)
				result := s.run(t, seed)
				t.Logf("seed %d: %d requests, %d exchanges, steady: refused share %.3f, greedy: admitted %.2f of rate and burst",
					seed, result.sent, result.exchanges, result.steadyRefusedShare, float64(result.admitted["greedy"])/(2000*60+20000))
				is.Equal(len(result.excess), 0)
				is.True(result.steadyRefusedShare <= s.maxRefused)
				is.True(result.admitted["greedy"] > 0)
			}
		})
	}
}

// TestAuditDetectsBrokenLimiters violates the invariants behind the limit one
// at a time and checks that Audit reports an excess for each.
func TestAuditDetectsBrokenLimiters(t *testing.T) {
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
			name: "grants outlive the owner's TTL", waves: true, script: loseMessagesBetweenWaves,
			faults: faults{tamper: func(_ *wire.QuotaRequest, g *wire.QuotaGrant) {
				if g != nil {
					g.ExpiresUs *= 20
				}
			}},
		},
		{
			name: "grants are doubled",
			faults: faults{tamper: func(_ *wire.QuotaRequest, g *wire.QuotaGrant) {
				if g != nil {
					g.GrantedTokens *= 2
				}
			}},
		},
		{name: "takeover with full buckets", script: crashOwners, faults: faults{freshTakeover: true}},
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := scenario{hosts: 8, greedy: hostNumbers(8), steady: hostNumbers(8), waves: b.waves}
			s.script = func(ctx context.Context, f *fleet) {
				f.changeFaults(0, func(x *faults) { *x = b.faults })
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
