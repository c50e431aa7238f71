package lease

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// fakeClock is the clock of a test host. Suspended time advances only the boot
// clock.
type fakeClock struct {
	start     time.Time
	suspended time.Duration
}

func (c *fakeClock) Now() Instant {
	now := time.Now()
	return Instant{Monotonic: now, Boot: now.Sub(c.start) + c.suspended}
}

// testHost is a host with its set and its own store client.
type testHost struct {
	name   string
	set    *Set
	clock  *fakeClock
	client *kv.Client
	// paused hosts take no steps, but may call Held when they resume.
	paused bool
	// dead hosts crashed or were stopped and never resume.
	dead bool
}

// testCluster is a set of hosts that share a store.
type testCluster struct {
	store  *kv.Store
	hosts  []*testHost
	shards []string
	// live is the membership list of all hosts.
	live []string
}

func newTestCluster(n int, shards ...string) *testCluster {
	cluster := &testCluster{store: kv.New(kv.Options{}), shards: shards}
	for i := range n {
		cluster.add(fmt.Sprint("h", i), faults{})
	}
	return cluster
}

func (c *testCluster) add(name string, f faults) {
	h := &testHost{name: name, clock: &fakeClock{start: time.Now()}, client: c.store.Client(name)}
	h.set = New(Options{
		Host: name, Incarnation: "1", Store: h.client, Clock: h.clock, Settings: DefaultSettings(),
		Shards:      func() []string { return c.shards },
		Preferred:   func(shard string) (string, bool) { return Preferred(shard, c.live) },
		WriteTokens: record.NewWriteTokens(name, "1"),
		Log:         slog.New(slog.DiscardHandler),
	})
	h.set.faults = f
	c.hosts = append(c.hosts, h)
	c.live = append(c.live, name)
}

// holders returns the hosts that hold the shard according to their cached state.
func (c *testCluster) holders(shard string) []string {
	var names []string
	for _, h := range c.hosts {
		if _, _, ok := h.set.Held(shard); ok && !h.dead {
			names = append(names, h.name)
		}
	}
	return names
}

// tickLength is the time between two checks of all hosts.
const tickLength = 250 * time.Millisecond

// tick advances time by tickLength. Each host takes one step per second.
func (c *testCluster) tick(ctx context.Context, number int) {
	time.Sleep(tickLength)
	for i, h := range c.hosts {
		if !h.paused && !h.dead && (number+i)%4 == 0 {
			h.set.Step(ctx)
		}
	}
}

// waitUntil ticks until the condition holds and returns the elapsed time.
func (c *testCluster) waitUntil(t *testing.T, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for n := 0; !condition(); n++ {
		if time.Since(start) > time.Minute {
			t.Fatal("never")
		}
		c.tick(t.Context(), n)
	}
	return time.Since(start)
}

func (c *testCluster) hostNamed(name string) *testHost {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func TestShardsAreDistributedAndTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var shards []string
		for i := range 30 {
			shards = append(shards, fmt.Sprint("p", i))
		}
		cluster := newTestCluster(4, shards...)
		allHeld := func() bool {
			for _, p := range shards {
				if len(cluster.holders(p)) != 1 {
					return false
				}
			}
			return true
		}
		cluster.waitUntil(t, allHeld)
		for _, h := range cluster.hosts {
			is.True(len(h.set.Shards()) >= 2)
		}
		dead := cluster.hosts[2]
		dead.dead = true
		cluster.live = []string{"h0", "h1", "h3"}
		elapsed := cluster.waitUntil(t, allHeld)
		t.Logf("taken over %v after the holder crashed", elapsed)
		is.True(elapsed <= 15*time.Second)
		cluster.store.Close()
	})
}

func TestDirectoryTracksHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3, "p")
		d := NewDirectory(cluster.store)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		matches := func() bool {
			h, ok := d.Holder("p")
			return ok && slices.Equal(cluster.holders("p"), []string{h.Host})
		}
		cluster.waitUntil(t, matches)
		cluster.store.SetDown(true)
		time.Sleep(2 * time.Second)
		is.Equal(len(d.All()), 1) // During an outage the last known holder is retained.
		cluster.store.SetDown(false)
		first := cluster.hostNamed(cluster.holders("p")[0])
		first.dead = true
		cluster.live = slices.DeleteFunc(cluster.live, func(name string) bool { return name == first.name })
		cluster.waitUntil(t, matches)
		cancel()
		<-done
		cluster.store.Close()
	})
}

func TestCloseAllowsFastTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2, "p")
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		first := cluster.hostNamed(cluster.holders("p")[0])
		is.NoErr(first.set.Close(t.Context()))
		first.dead = true
		cluster.live = []string{"h0", "h1"}
		cluster.live = map[string][]string{"h0": {"h1"}, "h1": {"h0"}}[first.name]
		elapsed := cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		is.True(elapsed <= 2*time.Second)
		cluster.store.Close()
	})
}

func TestPausedOrSuspendedHolderLosesShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(1, "p")
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		h := cluster.hosts[0]
		h.clock.suspended = 8 * time.Second
		_, _, ok := h.set.Held("p")
		is.True(!ok) // The boot clock advances while the machine is suspended.
		h.clock.suspended = 0
		h.paused = true
		time.Sleep(8 * time.Second)
		_, _, ok = h.set.Held("p")
		is.True(!ok)
		cluster.store.Close()
	})
}

func TestHolderLosesShardsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2, "p")
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		cluster.store.SetDown(true)
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 0 })
		cluster.store.SetDown(false)
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		is.Equal(len(cluster.holders("p")), 1)
		cluster.store.Close()
	})
}

func TestStoreCallsOfIdleCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var shards []string
		for i := range 40 {
			shards = append(shards, fmt.Sprint("p", i))
		}
		cluster := newTestCluster(8, shards...)
		for n := range 240 {
			cluster.tick(t.Context(), n)
		}
		before := cluster.calls()
		for n := range 240 {
			cluster.tick(t.Context(), n)
		}
		perMinute := cluster.calls() - before
		t.Logf("store calls per minute, 8 hosts, 40 shards: %d", perMinute)
		is.True(perMinute <= 8*31)
		cluster.store.Close()
	})
}

func (c *testCluster) calls() int64 {
	var n int64
	for _, h := range c.hosts {
		n += h.set.Stats().Calls.Load()
	}
	return n
}

// A host without shards does not renew its lease.
func TestHostWithoutShardsRenewsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2, "p")
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		runTicks := func(ticks int) {
			for n := range ticks {
				cluster.tick(t.Context(), n)
			}
		}
		runTicks(40)
		calls := make(map[string]int64)
		for _, h := range cluster.hosts {
			calls[h.name] = h.set.Stats().Calls.Load()
		}
		runTicks(240)
		for _, h := range cluster.hosts {
			renewalCalls := h.set.Stats().Calls.Load() - calls[h.name]
			is.Equal(renewalCalls > 0, len(h.set.Shards()) > 0)
		}
		cluster.store.Close()
	})
}
