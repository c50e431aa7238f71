package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// scaleDomains is the number of failure domains at the target size.
	scaleDomains = 14
	// candidatesPerDomain is the number of candidates of each failure domain.
	candidatesPerDomain = 3
)

func scaleHosts(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%scaleDomains)}
	}
	return hosts
}

func scaleShards(n int) []string {
	shards := make([]string, n)
	for i := range shards {
		shards[i] = fmt.Sprint("p", i)
	}
	return shards
}

// idleCalls returns the calls for leases and all calls to the store during one
// minute without changes.
func idleCalls(t *testing.T, hosts, shards int) (leaseCalls, allCalls int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(0, scaleShards(shards)...)
		ctx, cancel := context.WithCancel(t.Context())
		candidates := Candidates(scaleHosts(hosts), candidatesPerDomain)
		for i := range hosts {
			name := fmt.Sprint("h", i)
			d := NewDirectory(cluster.store.Client(name))
			go d.Run(ctx)
			cluster.add(name, faults{})
			h := cluster.hosts[i]
			h.set.opts.Shards = func() []string { return append([]string{HostShard(name)}, cluster.shards...) }
			h.set.opts.Preferred = func(shard string) (string, bool) { return d.Preferred(shard, candidates) }
		}
		for n := range 160 {
			cluster.tick(t.Context(), n)
		}
		leaseCalls = -cluster.calls()
		before := cluster.store.Counts()
		for n := range 240 {
			cluster.tick(t.Context(), n)
		}
		after := cluster.store.Counts()
		leaseCalls += cluster.calls()
		allCalls = after.Reads() + after.Writes() - before.Reads() - before.Writes()
		cancel()
		time.Sleep(time.Minute)
		cluster.store.Close()
	})
	return leaseCalls, allCalls
}

// The number of idle store calls depends on the number of candidates, not on the
// number of shards.
func TestStoreCallsScaleWithCandidatesOnly(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ hosts, shards int }{{25, 10}, {25, 100}, {50, 10}, {100, 10}} {
		leaseCalls, allCalls := idleCalls(t, size.hosts, size.shards)
		t.Logf("hosts=%d shards=%d: lease calls/min=%d, all store calls/min=%d", size.hosts, size.shards, leaseCalls, allCalls)
		is.True(leaseCalls <= int64(31*min(size.hosts, scaleDomains*candidatesPerDomain)))
	}
}

// BenchmarkCandidates measures the work of a host once per step.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := scaleHosts(n)
			b.ReportAllocs()
			for b.Loop() {
				Candidates(hosts, candidatesPerDomain)
			}
		})
	}
}

// BenchmarkPreferred measures the work of a host once per step and shard.
func BenchmarkPreferred(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			candidates := Candidates(scaleHosts(n), candidatesPerDomain)
			d := NewDirectory(nil)
			d.loaded = true
			for _, h := range candidates {
				d.holders[HostShard(h)] = Holder{Host: h}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Preferred("role/d1/pool-1", candidates)
			}
		})
	}
}
