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

// injectFault injects or ends one random fault.
func (c *testCluster) injectFault(rng *rand.Rand) {
	h := c.hosts[rng.IntN(len(c.hosts))]
	switch rng.IntN(18) {
	case 0, 9, 10:
		// The other hosts soon declare a paused host lost.
		h.paused = true
		c.live = slices.DeleteFunc(slices.Clone(c.live), func(name string) bool { return name == h.name })
	case 1, 2, 11, 12:
		h.paused = false
	case 3:
		c.store.LoseNext(1 + rng.IntN(3))
	case 4:
		c.store.SetDown(rng.IntN(3) == 0)
	case 5:
		h.client.SetDown(rng.IntN(2) == 0)
	case 6:
		c.store.SetDelay(time.Duration(rng.IntN(3)) * 400 * time.Millisecond)
	case 7:
		h.clock.suspended += time.Duration(rng.IntN(10)) * time.Second
	case 16:
		c.store.DelayWrites(float64(rng.IntN(3))*0.3, 4*time.Second)
	case 17:
		c.store.LoseAnswers(float64(rng.IntN(2)) * 0.4)
	case 13, 14:
		c.store.DelayWrites(0, 0)
		c.store.LoseAnswers(0)
		c.store.SetDown(false)
		c.store.SetDelay(0)
		for _, other := range c.hosts {
			other.client.SetDown(false)
		}
	case 8, 15:
		c.live = nil
		for _, other := range c.hosts {
			if rng.IntN(4) > 0 {
				c.live = append(c.live, other.name)
			}
		}
	}
}

// run injects a fault every 6 ticks. At each tick it counts the shards with one
// holder, the shards with several holders and the decreases of fencing tokens.
func (c *testCluster) run(ctx context.Context, rng *rand.Rand, ticks int) (heldShards, conflicts, regressions int) {
	highest := make(map[string]int64)
	for n := range ticks {
		if n%6 == 0 {
			c.injectFault(rng)
		}
		c.tick(ctx, n)
		for _, shard := range c.shards {
			switch len(c.holders(shard)) {
			case 0:
			case 1:
				heldShards++
			default:
				conflicts++
			}
			for _, h := range c.hosts {
				if fence, _, ok := h.set.Held(shard); ok {
					if fence < highest[shard] {
						regressions++
					}
					highest[shard] = max(highest[shard], fence)
				}
			}
		}
	}
	return heldShards, conflicts, regressions
}

func TestRandomFaultsNeverCauseTwoHolders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cluster := newTestCluster(4, "a", "b", "c")
				heldShards, conflicts, regressions := cluster.run(t.Context(), rand.New(rand.NewPCG(seed, 5)), 1500)
				is.True(heldShards > 1500)
				is.Equal(conflicts, 0)
				is.Equal(regressions, 0)
				cluster.store.SetDown(false)
				cluster.store.SetDelay(0)
				cluster.store.DelayWrites(0, 0)
				cluster.store.LoseAnswers(0)
				for _, h := range cluster.hosts {
					h.client.SetDown(false)
					h.paused = false
				}
				cluster.live = []string{"h0", "h1", "h2", "h3"}
				cluster.waitUntil(t, func() bool {
					return len(cluster.holders("a")) == 1 && len(cluster.holders("b")) == 1 && len(cluster.holders("c")) == 1
				})
				cluster.store.Close()
			})
		})
	}
}

func TestRandomFaultsDetectBrokenSets(t *testing.T) {
	t.Parallel()
	for name, injected := range map[string]faults{
		"lease measured from the response, no margin": {countsFromResponse: true, noMargin: true},
		"no margin": {noMargin: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := 0
			for seed := range uint64(6) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newTestCluster(0, "a", "b", "c")
					for i := range 4 {
						cluster.add(fmt.Sprint("h", i), injected)
					}
					_, conflicts, _ := cluster.run(t.Context(), rand.New(rand.NewPCG(seed, 5)), 1500)
					found += conflicts
					cluster.store.Close()
				})
			}
			is.True(found > 0)
		})
	}
}
