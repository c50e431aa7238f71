package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// sizes are the numbers of members measured, and endpointsPerMember the target's.
var sizes = []int{25, 50, 100, 200, 370}

const (
	endpointsPerMember = 5700.0 / 370
	// changesPerMember is 0.1 changes a second over 370 members.
	changesPerMember = 0.1 / 370
	domainsMeasured  = 14
)

// BenchmarkMembership measures bytes and convergence of this package's way.
func BenchmarkMembership(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				measure(b, n)
			}
		})
	}
}

func measure(b *testing.B, n int) {
	c := newCluster(n, min(domainsMeasured, n/5), int(float64(n)*endpointsPerMember), 42)
	c.know()
	c.run(20 * time.Second)
	quiet, _ := c.churn(time.Minute, 0)
	var slowest, sum time.Duration
	const changes = 10
	for i := range changes {
		a := c.agents[i*7%len(c.agents)]
		a.state.Draining = true
		took := c.until(b, c.endpointIs(a.name, Leaving))
		slowest, sum = max(slowest, took), sum+took
	}
	c.nodes[n/2].down = true
	gone := c.until(b, c.sees(n/2, Gone))
	churn, churnMax := c.churn(2*time.Minute, float64(n)*changesPerMember)
	c.add(n/2, min(domainsMeasured, n/5), "i2").table.SetEndpoints(c.refs())
	joined := c.until(b, func() bool { return len(c.nodes[n/2].table.records) >= n+len(c.agents) })
	b.ReportMetric(joined.Seconds(), "join-s")
	b.ReportMetric(quiet, "quiet-B/s")
	b.ReportMetric(sum.Seconds()/changes, "change-mean-s")
	b.ReportMetric(slowest.Seconds(), "change-max-s")
	b.ReportMetric(gone.Seconds(), "crash-gone-s")
	b.ReportMetric(churn, "churn-B/s")
	b.ReportMetric(churnMax, "churn-max-B/s")
}

// churn changes endpoints at a rate and returns the bytes a node and second.
func (c *cluster) churn(d time.Duration, rate float64) (mean, greatest float64) {
	for _, nd := range c.nodes {
		nd.sent = 0
	}
	due := 0.0
	for range int(d.Seconds()) {
		for due += rate; due >= 1; due-- {
			a := c.agents[c.rng.IntN(len(c.agents))]
			a.state.Draining = !a.state.Draining
		}
		c.run(time.Second)
	}
	for _, nd := range c.nodes {
		perSecond := float64(nd.sent) / d.Seconds()
		mean += perSecond / float64(len(c.nodes))
		greatest = max(greatest, perSecond)
	}
	return mean, greatest
}

// BenchmarkDomainCut measures what a cut-off domain costs when it returns.
func BenchmarkDomainCut(b *testing.B) {
	for range b.N {
		c := newCluster(370, domainsMeasured, 0, 42)
		c.know()
		c.run(30 * time.Second)
		c.blocked = func(from, to int) bool { return (from%domainsMeasured == 3) != (to%domainsMeasured == 3) }
		c.run(3 * time.Minute)
		c.blocked = func(int, int) bool { return false }
		for _, nd := range c.nodes {
			nd.sent = 0
		}
		healed := c.until(b, c.allLive)
		mean, greatest := 0.0, 0.0
		for _, nd := range c.nodes {
			rate := float64(nd.sent) / healed.Seconds()
			mean += rate / float64(len(c.nodes))
			greatest = max(greatest, rate)
		}
		b.ReportMetric(mean, "heal-B/s")
		b.ReportMetric(healed.Seconds(), "heal-s")
		b.ReportMetric(greatest, "heal-max-B/s")
	}
}

// BenchmarkDomainLost kills the hosts and endpoints of a domain at the target's
// size and measures until every table has all of them as gone.
func BenchmarkDomainLost(b *testing.B) {
	for range b.N {
		c := newCluster(370, domainsMeasured, 5700, 42)
		c.know()
		c.run(20 * time.Second)
		lost := make(map[uint64]bool)
		for _, nd := range c.nodes {
			nd.sent = 0
			if nd.index%domainsMeasured == 3 {
				nd.down = true
				lost[nd.table.self.id] = true
			}
		}
		for i, a := range c.agents {
			if i%domainsMeasured == 3 {
				a.down = true
				lost[hashName(kindEndpoint, a.name)] = true
			}
		}
		took := c.until(b, func() bool {
			return c.all(func(nd *node) bool {
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
			mean += float64(nd.sent) / took.Seconds() / float64(len(c.nodes)-len(lost)/16)
		}
		b.ReportMetric(took.Seconds(), "gone-s")
		b.ReportMetric(mean, "B/s")
	}
}

// BenchmarkAllToAll counts heartbeats of every member to every other, once a
// second, each answered by nothing. A crash is known after the silence, a
// change of an endpoint is sent by its watcher to all at once.
func BenchmarkAllToAll(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			heartbeat := proto.Size(&wire.PeerMessage{From: "entry-100", Incarnation: "i1"}) + frameBytes
			for range b.N {
				b.ReportMetric(float64((n-1)*heartbeat), "quiet-B/s")
			}
		})
	}
}

// fullTable returns a table with as many members and the endpoints that belong
// to them.
func fullTable(members int) (*Table, time.Time) {
	endpoints := int(float64(members) * endpointsPerMember)
	c := newCluster(1, 1, endpoints, 1)
	t := c.nodes[0].table
	part := &wire.MemberPart{}
	for i := range members {
		part.Members = append(part.Members, &wire.MemberState{
			Name: fmt.Sprint("entry-host-", i), Incarnation: "0123456789abcdef", Domain: fmt.Sprint("domain-", i%domainsMeasured),
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

// BenchmarkTick measures one tick, the heaviest regular work of a table.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t, now := fullTable(n)
			for b.Loop() {
				now = now.Add(time.Second)
				t.reach.heard(now)
				t.Tick(now)
			}
		})
	}
}

// BenchmarkHandleExchange measures one answer with checksums compared.
func BenchmarkHandleExchange(b *testing.B) {
	t, now := fullTable(370)
	in := &wire.MemberPart{Buckets: append([]uint32(nil), t.sums[:]...)}
	for b.Loop() {
		t.HandleExchange("entry-host-2", in, now)
	}
}

// BenchmarkDistribute measures a new distribution of watches.
func BenchmarkDistribute(b *testing.B) {
	t, now := fullTable(370)
	for b.Loop() {
		t.mu.Lock()
		t.distribute(now)
		t.mu.Unlock()
	}
}

// BenchmarkTableMemory reports the heap that a table takes.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range sizes {
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
