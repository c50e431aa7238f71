package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// disturb causes one seeded fault.
func (s *site) disturb(rnd *rand.Rand) {
	h := s.hosts[rnd.IntN(len(s.hosts))]
	switch rnd.IntN(18) {
	case 0, 9, 10:
		// A paused host is soon taken for gone by the others.
		h.paused = true
		s.live = slices.DeleteFunc(slices.Clone(s.live), func(name string) bool { return name == h.name })
	case 1, 2, 11, 12:
		h.paused = false
	case 3:
		s.store.LoseNext(1 + rnd.IntN(3))
	case 4:
		s.store.SetDown(rnd.IntN(3) == 0)
	case 5:
		h.client.SetDown(rnd.IntN(2) == 0)
	case 6:
		s.store.SetDelay(time.Duration(rnd.IntN(3)) * 400 * time.Millisecond)
	case 7:
		h.clock.suspended += time.Duration(rnd.IntN(10)) * time.Second
	case 16:
		s.store.DelayWrites(float64(rnd.IntN(3))*0.3, 4*time.Second)
	case 17:
		s.store.LoseAnswers(float64(rnd.IntN(2)) * 0.4)
	case 13, 14:
		s.store.DelayWrites(0, 0)
		s.store.LoseAnswers(0)
		s.store.SetDown(false)
		s.store.SetDelay(0)
		for _, one := range s.hosts {
			one.client.SetDown(false)
		}
	case 8, 15:
		s.live = nil
		for _, one := range s.hosts {
			if rnd.IntN(4) > 0 {
				s.live = append(s.live, one.name)
			}
		}
	}
}

// run disturbs the site for a while and counts moments with two holders and
// fencing numbers that fall.
func (s *site) run(ctx context.Context, rnd *rand.Rand, ticks int) (held, double, falling int) {
	highest := make(map[string]int64)
	for n := range ticks {
		if n%6 == 0 {
			s.disturb(rnd)
		}
		s.tick(ctx, n)
		for _, p := range s.pieces {
			switch len(s.holders(p)) {
			case 0:
			case 1:
				held++
			default:
				double++
			}
			for _, h := range s.hosts {
				if fence, _, ok := h.set.Held(p); ok {
					if fence < highest[p] {
						falling++
					}
					highest[p] = max(highest[p], fence)
				}
			}
		}
	}
	return held, double, falling
}

func TestTwoHoldersNeverAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(4, "a", "b", "c")
				held, double, falling := s.run(t.Context(), rand.New(rand.NewPCG(seed, 5)), 1500)
				is.True(held > 1500)
				is.Equal(double, 0)
				is.Equal(falling, 0)
				s.store.SetDown(false)
				s.store.SetDelay(0)
				s.store.DelayWrites(0, 0)
				s.store.LoseAnswers(0)
				for _, h := range s.hosts {
					h.client.SetDown(false)
					h.paused = false
				}
				s.live = []string{"h0", "h1", "h2", "h3"}
				s.await(t, func() bool {
					return len(s.holders("a")) == 1 && len(s.holders("b")) == 1 && len(s.holders("c")) == 1
				})
				s.store.Close()
			})
		})
	}
}

func TestBrokenSetsAreCaught(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]flaws{
		"counts from the answer and beyond": {countsFromAnswer: true, noMargin: true},
		"no margin":                         {noMargin: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := 0
			for seed := range uint64(6) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(0, "a", "b", "c")
					for i := range 4 {
						s.add(fmt.Sprint("h", i), f)
					}
					_, double, _ := s.run(t.Context(), rand.New(rand.NewPCG(seed, 5)), 1500)
					found += double
					s.store.Close()
				})
			}
			is.True(found > 0)
		})
	}
}
