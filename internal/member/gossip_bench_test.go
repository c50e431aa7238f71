package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// memberCounts are the cluster sizes measured, up to the target size.
var memberCounts = []int{25, 50, 100, 200, 370}

const (
	// endpointsPerMember is the ratio of the target size: 5700 endpoints over
	// 370 members.
	endpointsPerMember = 5700.0 / 370
	// changesPerMemberSecond is 0.1 endpoint changes per second over 370 members.
	changesPerMemberSecond = 0.1 / 370
	domainCount            = 14
)

// BenchmarkMembership measures the traffic and the convergence times of this
// package.
func BenchmarkMembership(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measureMembership(b, n)
			}
		})
	}
}

func measureMembership(b *testing.B, n int) {
	c := newCluster(n, min(domainCount, n/5), int(float64(n)*endpointsPerMember), 42)
	c.loadRecords()
	c.runFor(20 * time.Second)
	idle, _ := c.churn(time.Minute, 0)
	var slowest, sum time.Duration
	const changes = 10
	for i := range changes {
		a := c.agents[i*7%len(c.agents)]
		a.state.Draining = true
		took := c.runUntil(b, c.endpointIs(a.name, Leaving))
		slowest, sum = max(slowest, took), sum+took
	}
	c.nodes[n/2].down = true
	gone := c.runUntil(b, c.memberIs(n/2, Gone))
	churn, churnMax := c.churn(2*time.Minute, float64(n)*changesPerMemberSecond)
	c.add(n/2, min(domainCount, n/5), "i2").table.SetEndpoints(c.endpointRefs())
	joined := c.runUntil(b, func() bool { return len(c.nodes[n/2].table.records) >= n+len(c.agents) })
	b.ReportMetric(joined.Seconds(), "join-s")
	b.ReportMetric(idle, "quiet-B/s")
	b.ReportMetric(sum.Seconds()/changes, "change-mean-s")
	b.ReportMetric(slowest.Seconds(), "change-max-s")
	b.ReportMetric(gone.Seconds(), "crash-gone-s")
	b.ReportMetric(churn, "churn-B/s")
	b.ReportMetric(churnMax, "churn-max-B/s")
}

// churn changes endpoints at a rate per second and returns the mean and the
// highest traffic of a node, in bytes per second.
func (c *cluster) churn(d time.Duration, rate float64) (mean, highest float64) {
	for _, nd := range c.nodes {
		nd.sentBytes = 0
	}
	due := 0.0
	for range int(d.Seconds()) {
		for due += rate; due >= 1; due-- {
			a := c.agents[c.rng.IntN(len(c.agents))]
			a.state.Draining = !a.state.Draining
		}
		c.runFor(time.Second)
	}
	for _, nd := range c.nodes {
		perSecond := float64(nd.sentBytes) / d.Seconds()
		mean += perSecond / float64(len(c.nodes))
		highest = max(highest, perSecond)
	}
	return mean, highest
}

// BenchmarkDomainPartition measures the time and the traffic to heal after a
// failure domain was partitioned for three minutes.
func BenchmarkDomainPartition(b *testing.B) {
	for range b.N {
		c := newCluster(370, domainCount, 0, 42)
		c.loadRecords()
		c.runFor(30 * time.Second)
		c.blocked = func(from, to int) bool { return (from%domainCount == 3) != (to%domainCount == 3) }
		c.runFor(3 * time.Minute)
		c.blocked = func(int, int) bool { return false }
		for _, nd := range c.nodes {
			nd.sentBytes = 0
		}
		healed := c.runUntil(b, c.allLive)
		mean, highest := 0.0, 0.0
		for _, nd := range c.nodes {
			rate := float64(nd.sentBytes) / healed.Seconds()
			mean += rate / float64(len(c.nodes))
			highest = max(highest, rate)
		}
		b.ReportMetric(mean, "heal-B/s")
		b.ReportMetric(healed.Seconds(), "heal-s")
		b.ReportMetric(highest, "heal-max-B/s")
	}
}

// BenchmarkDomainFailure stops the hosts and endpoints of a failure domain at the
// target size and measures the time until every table has all of them as gone.
func BenchmarkDomainFailure(b *testing.B) {
	for range b.N {
		c := newCluster(370, domainCount, 5700, 42)
		c.loadRecords()
		c.runFor(20 * time.Second)
		lost := make(map[uint64]bool)
		for _, nd := range c.nodes {
			nd.sentBytes = 0
			if nd.index%domainCount == 3 {
				nd.down = true
				lost[nd.table.self.id] = true
			}
		}
		for i, a := range c.agents {
			if i%domainCount == 3 {
				a.down = true
				lost[recordID(kindEndpoint, a.name)] = true
			}
		}
		took := c.runUntil(b, func() bool {
			return c.allRunning(func(nd *node) bool {
				for id := range lost {
					if nd.table.records[id].state != Gone {
						return false
					}
				}
				return true
			})
		})
		mean := 0.0
		for _, nd := range c.nodes {
			mean += float64(nd.sentBytes) / took.Seconds() / float64(len(c.nodes)-len(lost)/16)
		}
		b.ReportMetric(took.Seconds(), "gone-s")
		b.ReportMetric(mean, "B/s")
	}
}

// BenchmarkAllToAllHeartbeats computes, for comparison, the traffic of
// unacknowledged heartbeats from every member to every other once per second.
// A crash is detected by a timeout, and a change of an endpoint is broadcast by
// its watcher.
func BenchmarkAllToAllHeartbeats(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			heartbeat := proto.Size(&wire.PeerMessage{From: "entry-100", Incarnation: "i1"}) + frameOverheadBytes
			for range b.N {
				b.ReportMetric(float64((n-1)*heartbeat), "quiet-B/s")
			}
		})
	}
}

// fullTable returns a table with the given number of members and
// endpointsPerMember endpoints for each.
func fullTable(members int) (*Table, time.Time) {
	endpoints := int(float64(members) * endpointsPerMember)
	c := newCluster(1, 1, endpoints, 1)
	t := c.nodes[0].table
	part := &wire.MemberPart{}
	for i := range members {
		part.Members = append(part.Members, &wire.MemberState{
			Name: fmt.Sprint("entry-host-", i), Incarnation: "0123456789abcdef", Domain: fmt.Sprint("domain-", i%domainCount),
			Address: nodeAddress(i), Version: 1,
		})
	}
	for i := range endpoints {
		part.Endpoints = append(part.Endpoints, &wire.EndpointState{
			Name: fmt.Sprint("engine-", i), Incarnation: "0123456789abcdef", Version: 1,
			Agent: &wire.AgentState{Role: "mixed", Models: []string{"model-1"}},
		})
	}
	t.HandleExchange("entry-host-1", part, c.now)
	return t, c.now
}

// BenchmarkTick measures one tick, the most expensive periodic work of a table.
func BenchmarkTick(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t, now := fullTable(n)
			for b.Loop() {
				now = now.Add(time.Second)
				t.connectivity.recordContact(now)
				t.Tick(now)
			}
		})
	}
}

// BenchmarkHandleExchange measures one answer including a checksum comparison.
func BenchmarkHandleExchange(b *testing.B) {
	t, now := fullTable(370)
	in := &wire.MemberPart{Buckets: append([]uint32(nil), t.checksums[:]...)}
	for b.Loop() {
		t.HandleExchange("entry-host-2", in, now)
	}
}

// BenchmarkDistribute measures one assignment of watches.
func BenchmarkDistribute(b *testing.B) {
	t, now := fullTable(370)
	for b.Loop() {
		t.mu.Lock()
		t.assignWatches(now)
		t.mu.Unlock()
	}
}

// BenchmarkTableMemory reports the heap size of a table.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t, _ := fullTable(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
				runtime.KeepAlive(t)
			}
		})
	}
}
