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
	// apart is the time between the two faults of a pair.
	apart = 1500 * time.Millisecond
	// together is how long both faults last.
	together = 6 * time.Second
)

// TestSingleFaults causes each kind of fault alone.
func TestSingleFaults(t *testing.T) {
	for i, d := range disorders {
		t.Run(d.name, func(t *testing.T) { causeAndJudge(t, uint64(i), d) })
	}
}

// TestSeededPairs causes two kinds of faults at a time, drawn by a seed.
func TestSeededPairs(t *testing.T) {
	for i := range *pairs {
		seed := *pairSeed + uint64(i)
		random := rand.New(rand.NewPCG(seed, 0))
		order := random.Perm(len(disorders))
		first, second := disorders[order[0]], disorders[order[1]]
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { causeAndJudge(t, seed, first, second) })
	}
}

func causeAndJudge(t *testing.T, seed uint64, faults ...disorder) {
	t.Logf("seed %d: %v", seed, faults)
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSite(t, plan{entries: 3, engines: 3, services: 3})
	l := s.startLoad(15, seed)
	l.waitAnswers(t, 30)
	window := during(func() {
		var mend []func()
		for _, d := range faults {
			mend = append(mend, d.cause(s, random))
			time.Sleep(apart)
		}
		time.Sleep(together)
		for _, m := range mend {
			m()
		}
	})
	l.waitAnswers(t, 30)
	r := s.record(l)
	r.Faults = []audit.Window{window}
	judge(t, r, served...)
}
