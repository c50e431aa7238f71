package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRefusalsNearRateLimit compares the refusals of a workspace near its rate
// with those of one exact bucket that knows each answer's length in advance.
func TestRefusalsNearRateLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name        string
		hosts       int
		hostNumbers []int
		tokens      float64
		// maxExtraRefusals is the highest permitted share of refusals beyond
		// the ideal ones.
		maxExtraRefusals float64
	}{
		{"0.2 of the rate from 64 hosts", 64, hostNumbers(64), 400, 0},
		{"0.5 of the rate from 64 hosts", 64, hostNumbers(64), 1000, 0.01},
		{"0.8 of the rate from one host", 16, []int{5}, 1600, 0.01},
		{"0.8 of the rate from 16 hosts", 16, hostNumbers(16), 1600, 0.01},
		{"0.8 of the rate from 64 hosts", 64, hostNumbers(64), 1600, 0.01},
		{"0.95 of the rate from one host", 16, []int{5}, 1900, 0.04},
		{"0.95 of the rate from 16 hosts", 16, hostNumbers(16), 1900, 0.04},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const duration = 5 * time.Minute
			l := load{workspace: "steady", tokens: c.tokens, hosts: c.hostNumbers, seed: 11}
			var refused, sent, exchanges, bytes int
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, 11, c.hosts, testLimits)
				f.offer(l, duration)
				time.Sleep(time.Minute)
				f.mu.Lock()
				refused, sent = f.refused["steady"], f.sent["steady"]
				exchanges, bytes = f.exchanges, f.bytes
				is.Equal(len(Audit(f.limits, f.log)), 0)
				f.mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
			})
			ideal, _ := idealRefusals(l, testLimits["steady"], duration)
			t.Logf("refused %d of %d (ideal %d), %.2f exchanges per request, %d bytes per exchange",
				refused, sent, ideal, float64(exchanges)/float64(sent), bytes/max(1, exchanges))
			is.True(float64(refused-ideal) <= c.maxExtraRefusals*float64(sent))
		})
	}
}

// TestBasePartSurvivesStoreOutage checks that every workspace continues within
// the base part of its rate long after the lease of the surplus part has
// expired.
func TestBasePartSurvivesStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := scenario{hosts: 8, greedy: hostNumbers(8), steady: hostNumbers(8)}
	var from time.Time
	s.script = func(_ context.Context, f *fleet) {
		f.changeFaults(10*time.Second, func(x *faults) { x.storeDown = true })
		from = time.Now().Add(20 * time.Second)
	}
	result := s.run(t, 3)
	is.Equal(len(result.excess), 0)
	const duration = 25 * time.Second
	admitted := make(map[string]int64)
	for _, c := range result.log {
		if c.At.After(from) && c.At.Before(from.Add(duration)) {
			admitted[c.Workspace] += c.Tokens
		}
	}
	for w, l := range testLimits {
		base := l.part(Base, DefaultSettings().BasePercent).Rate * int64(duration/time.Second)
		t.Logf("%s: %.2f of its base part", w, float64(admitted[w])/float64(base))
		is.True(admitted[w] > base*7/10)
	}
}
