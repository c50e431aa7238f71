//go:build linux && long

package fault

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
)

var (
	pairs    = flag.Int("pairs", 20, "number of seeded pairs of faults")
	pairSeed = flag.Uint64("pair-seed", 1, "seed of the first pair")
)

const (
	// injectionDelay is the delay after each injected fault.
	injectionDelay = 1500 * time.Millisecond
	// overlapDuration is how long all faults of a run are active together.
	overlapDuration = 6 * time.Second
)

// TestSingleFaults injects each kind of fault alone.
func TestSingleFaults(t *testing.T) {
	for i, injection := range faultInjections {
		t.Run(injection.name, func(t *testing.T) { injectAndAudit(t, uint64(i), injection) })
	}
}

// TestSeededPairs injects two different kinds of faults that overlap. The seed
// selects the kinds.
func TestSeededPairs(t *testing.T) {
	for i := range *pairs {
		seed := *pairSeed + uint64(i)
		rng := rand.New(rand.NewPCG(seed, 0))
		order := rng.Perm(len(faultInjections))
		first, second := faultInjections[order[0]], faultInjections[order[1]]
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { injectAndAudit(t, seed, first, second) })
	}
}

func injectAndAudit(t *testing.T, seed uint64, injections ...faultInjection) {
	t.Logf("seed %d: %v", seed, injections)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSite(t, siteSpec{entries: 3, engines: 3, services: 3})
	load := s.startLoad(15, seed)
	load.waitAnswers(t, 30)
	faultWindow := timeWindow(func() {
		var reverts []func()
		for _, injection := range injections {
			reverts = append(reverts, injection.inject(s, rng))
			time.Sleep(injectionDelay)
		}
		time.Sleep(overlapDuration)
		for _, revert := range reverts {
			revert()
		}
	})
	load.waitAnswers(t, 30)
	record := s.collectRecord(load)
	record.Faults = []audit.Window{faultWindow}
	auditRecord(t, record, servingGuarantees...)
}
