package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// holdersAfterLostRelease returns the number of hosts that use a shard after the
// response to its release was lost, another host acquired the shard and the first
// host became the preferred one again.
func holdersAfterLostRelease(t *testing.T, f faults) (n int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(0, "p")
		cluster.add("h0", f)
		cluster.add("h1", f)
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		first := cluster.hostNamed(cluster.holders("p")[0])
		cluster.live = []string{map[string]string{"h0": "h1", "h1": "h0"}[first.name]}
		first.set.Step(t.Context()) // stops using the shard
		time.Sleep(DefaultSettings().WorkDeadline)
		first.client.LoseNext(3)
		first.set.Step(t.Context()) // renews and deletes the key; all responses are lost
		cluster.hostNamed(cluster.live[0]).set.Step(t.Context())
		is.Equal(cluster.holders("p"), cluster.live)
		cluster.live = []string{first.name}
		first.set.Step(t.Context())
		n = len(cluster.holders("p"))
		cluster.store.Close()
	})
	return n
}

func TestShardIsNotReusedAfterLostRelease(t *testing.T) {
	is := is.New(t)
	is.Equal(holdersAfterLostRelease(t, faults{}), 1)
	is.Equal(holdersAfterLostRelease(t, faults{reusesReleased: true}), 2) // verifies that the check detects the fault
}

// A create may take effect after its call timed out. The host then releases the
// key when another host should hold the shard.
func TestLateCreateIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(2, "p", "q")
		cluster.live = []string{"h0"}
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p"))+len(cluster.holders("q")) == 2 })
		cluster.shards = []string{"p", "q", "late"}
		h0 := cluster.hostNamed("h0")
		h0.client.DelayWrites(1, 3*time.Second)
		h0.set.Step(t.Context())
		h0.client.DelayWrites(0, 0)
		cluster.live = []string{"h1"}
		time.Sleep(4 * time.Second)
		cluster.waitUntil(t, func() bool { return len(cluster.holders("late")) == 1 && cluster.holders("late")[0] == "h1" })
		cluster.store.Close()
	})
}

// A host that acquires many shards from a slow store still renews its lease in
// time.
func TestSlowStoreDoesNotDelayRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(1, "p")
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		for n := range 40 {
			cluster.shards = append(cluster.shards, fmt.Sprint("new", n))
		}
		cluster.store.SetDelay(900 * time.Millisecond)
		fence, _, _ := cluster.hosts[0].set.Held("p")
		cluster.hosts[0].set.Step(t.Context())
		cluster.hosts[0].set.Step(t.Context())
		again, _, held := cluster.hosts[0].set.Held("p")
		is.True(held)
		is.Equal(again, fence)
		is.Equal(cluster.hosts[0].set.Stats().Expired.Load(), int64(0))
		cluster.store.Close()
	})
}

// The platform's list of hosts lags: a holder that crashed or was stopped is
// replaced although the list still includes it.
func TestTakeoverWithStaleHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(0, "p", "q", "r")
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 3 {
			name := fmt.Sprint("h", i)
			d := NewDirectory(cluster.store.Client(name))
			go d.Run(ctx)
			cluster.add(name, faults{})
			h := cluster.hosts[i]
			h.set.opts.Shards = func() []string { return append([]string{HostShard(name)}, cluster.shards...) }
			h.set.opts.Preferred = func(shard string) (string, bool) { return d.Preferred(shard, cluster.live) }
		}
		allHeld := func() bool {
			return len(cluster.holders("p")) == 1 && len(cluster.holders("q")) == 1 && len(cluster.holders("r")) == 1
		}
		cluster.waitUntil(t, allHeld)
		cluster.hostNamed(cluster.holders("p")[0]).dead = true
		elapsed := cluster.waitUntil(t, allHeld)
		t.Logf("taken over %v after the holder crashed, with the holder still in the list of hosts", elapsed)
		is.True(elapsed <= 15*time.Second)
		cancel()
		cluster.store.Close()
	})
}

// Guards against a shard that nobody holds for a term, since its key stands under a lease that
// its holder has lost in a restoration of the store.
func TestHolderMovesItsKeyToNewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2, "p")
		defer cluster.store.Close()
		cluster.waitUntil(t, func() bool { return len(cluster.holders("p")) == 1 })
		holder := cluster.hostNamed(cluster.holders("p")[0])
		fence, _, _ := holder.set.Held("p")
		holder.set.dropLease(holder.set.lease)
		is.Equal(len(cluster.holders("p")), 0)
		holder.set.Step(t.Context())
		is.Equal(cluster.holders("p"), []string{holder.name})
		again, _, _ := holder.set.Held("p")
		is.True(again > fence)
		time.Sleep(DefaultSettings().TTL) // the lost lease ends, and takes no key along
		holder.set.Step(t.Context())
		_, err := holder.client.Get(t.Context(), keyPrefix+"p")
		is.NoErr(err)
		next := New(Options{Host: holder.name, Incarnation: "2", Store: holder.client, Settings: DefaultSettings(), Shards: holder.set.opts.Shards, Preferred: holder.set.opts.Preferred, WriteTokens: holder.set.opts.WriteTokens, Log: holder.set.opts.Log})
		next.Step(t.Context())
		_, _, ok := next.Held("p")
		is.True(!ok) // another process of the host takes no key over
	})
}
