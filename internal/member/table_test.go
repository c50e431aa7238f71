package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
)

// checksum recomputes a table's checksums from its records.
func checksum(t *Table) (sums [buckets]uint32) {
	for _, r := range t.records {
		if r.counted() {
			sums[r.id%buckets] += r.checksum()
		}
	}
	return sums
}

func TestJoinAndAgree(t *testing.T) {
	is := is.New(t)
	c := newCluster(25, 4, 60, 1)
	c.until(t, c.allLive)
	c.until(t, c.endpointIs("engine-7", Live))
	c.until(t, func() bool {
		return c.all(func(nd *node) bool { return nd.table.sums == c.nodes[0].table.sums })
	})
	for _, nd := range c.nodes {
		is.Equal(checksum(nd.table), nd.table.sums)
	}
	watched := map[string]int{}
	for _, nd := range c.nodes {
		for _, name := range nd.table.Watches() {
			watched[name]++
		}
	}
	for _, a := range c.agents {
		is.True(watched[a.name] >= 3)
	}
}

func TestCrashedMemberIsGoneEverywhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(25, 4, 0, 2)
	c.until(t, c.allLive)
	c.run(10 * time.Second)
	c.nodes[7].down = true
	took := c.until(t, c.sees(7, Gone))
	is.True(took <= 15*time.Second)
	c.add(7, 4, "i2") // Its successor has the same name.
	c.until(t, c.sees(7, Live))
	is.Equal(c.nodes[3].table.records[hashName(kindMember, "entry-7")].incarnation, "i2")
}

// TestPausedMemberReturns stops a process for a minute. It is gone meanwhile,
// accuses nobody when it goes on, and refutes its end.
func TestPausedMemberReturns(t *testing.T) {
	is := is.New(t)
	c := newCluster(25, 4, 0, 3)
	c.until(t, c.allLive)
	c.run(10 * time.Second)
	c.nodes[4].paused = true
	c.until(t, c.sees(4, Gone))
	c.run(time.Minute)
	c.nodes[4].paused = false
	before := c.nodes[4].table.stats.Suspicions
	c.until(t, c.allLive)
	is.Equal(c.nodes[4].table.stats.Suspicions, before)
	is.True(!c.nodes[4].table.Superseded())
}

// TestReplacedProcessStops pauses a process, starts another under its name,
// and lets the first go on.
func TestReplacedProcessStops(t *testing.T) {
	is := is.New(t)
	c := newCluster(10, 2, 0, 4)
	c.until(t, c.allLive)
	c.run(20 * time.Second)
	old := c.nodes[5]
	c.add(5, 2, "i2")
	c.until(t, func() bool {
		return c.nodes[1].table.records[hashName(kindMember, "entry-5")].incarnation == "i2"
	})
	old.table.HandleExchange("entry-1", partOf(c.nodes[1].table, "entry-5"), c.now)
	is.True(old.table.Superseded())
	is.True(!c.nodes[5].table.Superseded())
}

// TestLostMessages loses three messages in ten; comparison repairs the rest.
func TestLostMessages(t *testing.T) {
	c := newCluster(25, 4, 60, 5)
	c.loss = 0.3
	c.until(t, c.endpointIs("engine-9", Live))
	c.agents[9].state.Draining = true
	c.until(t, c.endpointIs("engine-9", Leaving))
	c.loss = 0
	c.until(t, c.allLive)
}

// TestPartitionHeals cuts a domain off for two minutes: both sides take each
// other for gone, go on, and find each other again.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	c := newCluster(24, 4, 0, 6)
	c.until(t, c.allLive)
	c.run(10 * time.Second)
	c.blocked = func(from, to int) bool { return (from%4 == 3) != (to%4 == 3) }
	c.run(2 * time.Minute)
	is.Equal(c.nodes[0].table.records[hashName(kindMember, "entry-3")].state, Gone)
	is.Equal(c.nodes[3].table.records[hashName(kindMember, "entry-0")].state, Gone)
	is.Equal(c.nodes[3].table.records[hashName(kindMember, "entry-7")].state, Live)
	c.blocked = func(int, int) bool { return false }
	c.until(t, c.allLive)
}

// TestCutOffHostAccusesNobody cuts one host off: it shows the others as gone
// after a while and spreads nothing of it on its return.
func TestCutOffHostAccusesNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(12, 3, 0, 7)
	c.until(t, c.allLive)
	c.run(10 * time.Second)
	c.blocked = func(from, to int) bool { return from == 2 || to == 2 }
	c.run(time.Minute)
	is.True(c.nodes[2].table.Isolated(c.now))
	for _, m := range c.nodes[2].table.Entries(c.now) {
		is.Equal(m.State == Gone, !m.Self)
	}
	c.blocked = func(int, int) bool { return false }
	c.until(t, c.allLive)
	for _, nd := range c.nodes {
		if nd.index != 2 {
			is.True(nd.table.stats.Refutations <= 1) // At most what it suspected before it knew.
		}
	}
}

func TestLeavingEndpointIsKnownInSeconds(t *testing.T) {
	is := is.New(t)
	c := newCluster(50, 4, 40, 8)
	c.until(t, c.endpointIs("engine-11", Live))
	c.run(15 * time.Second)
	c.agents[11].state.Draining = true
	took := c.until(t, c.endpointIs("engine-11", Leaving))
	is.True(took <= 6*time.Second)
	e, known := c.nodes[0].table.Endpoint("engine-11", c.now)
	is.True(known && !e.Usable())
	c.agents[11].down = true
	c.until(t, c.endpointIs("engine-11", Gone))
	c.agents[11].down = false
	c.agents[11].state.Draining = false
	c.agents[11].state.Incarnation = "a2"
	c.until(t, c.endpointIs("engine-11", Live))
}

// TestFalseGoneOfEndpoint cuts one watcher off from an agent that the others
// hear: they refute it, and it complains less and less often.
func TestFalseGoneOfEndpoint(t *testing.T) {
	is := is.New(t)
	c := newCluster(12, 3, 12, 9)
	c.until(t, c.endpointIs("engine-5", Live))
	c.run(15 * time.Second)
	var watcher *node
	for _, nd := range c.nodes {
		if duty := nd.table.watch.held["engine-5"]; duty != nil && duty.rank == 0 {
			watcher = nd
		}
	}
	watcher.unreachable["engine-5"] = true
	before := watcher.table.stats.Suspicions
	gone := 0
	for range 300 {
		c.run(time.Second)
		if c.endpointIs("engine-5", Gone)() {
			gone++
		}
	}
	suspicions := watcher.table.stats.Suspicions - before
	is.True(suspicions >= 2 && suspicions <= 7)
	is.Equal(gone, 0)
}

// TestHostList feeds a list that calls one endpoint leaving and lacks a member.
func TestHostList(t *testing.T) {
	is := is.New(t)
	c := newCluster(6, 2, 4, 10)
	c.until(t, c.endpointIs("engine-1", Live))
	var list []backing.Host
	for i := range c.nodes[:5] {
		list = append(list, backing.Host{Name: c.nodes[i].table.cfg.Name, Address: nodeAddress(i), State: backing.HostLive})
	}
	for name, e := range c.nodes[0].table.endpoints {
		state := backing.HostLive
		if name == "engine-1" {
			state = backing.HostLeaving
		}
		list = append(list, backing.Host{Name: "host-of-" + name, Address: e.Agent, State: state})
	}
	c.nodes[0].table.HandleHosts(list, c.now)
	c.until(t, c.endpointIs("engine-1", Leaving))
	for _, m := range c.nodes[4].table.Entries(c.now) {
		is.Equal(m.State, Live) // A list that lacks a live host changes nothing else.
		is.Equal(m.Listed == Gone, m.Name == "entry-5")
	}
	c.nodes[1].table.HandleHosts(nil, c.now)
	for _, m := range c.nodes[1].table.Entries(c.now) {
		is.Equal(m.Listed == Gone, m.Name == "entry-5")
	}
	for i := range list {
		list[i].State = backing.HostLive
	}
	c.nodes[3].table.HandleHosts(list, c.now)
	c.until(t, c.endpointIs("engine-1", Live))
}

// TestHostReadsAreShared counts reads of the host list over all hosts.
func TestHostReadsAreShared(t *testing.T) {
	is := is.New(t)
	c := newCluster(25, 4, 0, 11)
	c.until(t, c.allLive)
	reads := 0
	for _, nd := range c.nodes {
		nd.table.HostsDue(c.now)
	}
	for range 1000 {
		c.now = c.now.Add(time.Second)
		for _, nd := range c.nodes {
			if nd.table.HostsDue(c.now) {
				reads++
			}
		}
	}
	is.True(reads >= 150 && reads <= 250) // One in five seconds makes 200.
}
