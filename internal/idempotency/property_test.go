package idempotency

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed so that CI repeats the same plans; -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

// shortDivisor is the factor by which rapid reduces the number of checks in short
// mode.
const shortDivisor = 5

func TestKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	requests, tally := 0, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := genPlan.Draw(rt, "plan")
		a := runAudit(t, p, faultInjection{})
		requests += len(p.requests)
		for code, n := range a.outcomeCounts {
			tally[code] += n
		}
		if len(a.violations) > 0 {
			rt.Fatal(a.violations)
		}
	})
	t.Logf("%d requests: %v", requests, tally)
	want := 10_000
	if testing.Short() {
		want /= shortDivisor
	}
	if requests < want {
		t.Errorf("only %d requests", requests)
	}
}

// The audit must detect variants with a part of the protocol disabled.
func TestAuditDetectsInjectedFaults(t *testing.T) {
	t.Parallel()
	for name, injected := range map[string]faultInjection{
		"claims are reassigned":         {takeOverClaims: true},
		"unknown outcomes release keys": {releaseUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			violations := 0
			for seed := range 20 {
				violations += len(runAudit(t, genPlan.Example(seed), injected).violations)
			}
			is.True(violations > 0)
		})
	}
}
