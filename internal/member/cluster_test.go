package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// stepsPerPeriod is the number of simulation steps per period. Nodes tick in
// different steps.
const stepsPerPeriod = 10

// frameOverheadBytes is added to each message for the TCP and IP headers, the TLS
// record and the drpc frame.
const frameOverheadBytes = 70

// cluster simulates many tables in virtual time over a network with faults.
type cluster struct {
	now    time.Time
	step   int
	nodes  []*node
	agents []*agent
	// agentIndex maps agent names to indexes of agents.
	agentIndex map[string]int
	rng        *rand.Rand
	// blocked reports whether all messages from one node to another are
	// lost.
	blocked  func(from, to int) bool
	lossRate float64
}

type node struct {
	index     int
	table     *Table
	tickPhase int
	down      bool
	paused    bool
	sentBytes int64
	// unreachable holds the names of agents that this node can't reach.
	unreachable map[string]bool
}

type agent struct {
	name  string
	ref   EndpointRef
	down  bool
	state *wire.AgentState
}

func nodeAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, 1+i%250) }

// newCluster returns a cluster of n entry hosts spread over failure domains, with
// the first three hosts as seeds, and endpoints with their agents.
func newCluster(n, domains, endpoints int, seed uint64) *cluster {
	c := &cluster{
		now:     time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		blocked: func(int, int) bool { return false },

		agentIndex: make(map[string]int),
	}
	for i := range endpoints {
		a := &agent{name: fmt.Sprintf("engine-%d", i), state: &wire.AgentState{
			Incarnation: "a1", Ready: true, Role: "mixed", Models: []string{"model-1"},
		}}
		c.agentIndex[a.name] = i
		c.agents = append(c.agents, a)
		a.ref = EndpointRef{Name: a.name, Domain: fmt.Sprint("domain-", i%domains), Agent: fmt.Sprintf("10.1.%d.%d:7100", i/250, 1+i%250)}
	}
	for i := range n {
		c.add(i, domains, "i1").table.SetEndpoints(c.endpointRefs())
	}
	return c
}

// endpointRefs returns the configured endpoints.
func (c *cluster) endpointRefs() []EndpointRef {
	refs := make([]EndpointRef, 0, len(c.agents))
	for _, a := range c.agents {
		refs = append(refs, a.ref)
	}
	return refs
}

func (c *cluster) add(i, domains int, incarnation string) *node {
	cfg := Config{
		Name: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i%domains),
		Address: nodeAddress(i), Incarnation: incarnation,
		Seeds:  []string{nodeAddress(0), nodeAddress(1), nodeAddress(2)},
		Period: time.Second, Fanout: 2, SuspectTimeout: 5 * time.Second, HostListInterval: 5 * time.Second,
		Watchers: 3, Seed: c.rng.Uint64(),
	}
	nd := &node{index: i, table: NewTable(cfg, c.now), tickPhase: c.rng.IntN(stepsPerPeriod), unreachable: map[string]bool{}}
	if i < len(c.nodes) {
		c.nodes[i] = nd
	} else {
		c.nodes = append(c.nodes, nd)
	}
	return nd
}

// loadRecords gives every table the records of all nodes and agents, as in a
// converged cluster.
func (c *cluster) loadRecords() {
	part := &wire.MemberPart{}
	for _, nd := range c.nodes {
		nd.table.self.appendTo(part)
	}
	for i, a := range c.agents {
		part.Endpoints = append(part.Endpoints, &wire.EndpointState{
			Name: a.name, Incarnation: a.state.GetIncarnation(), Version: uint64(i), Agent: a.state,
		})
	}
	for _, nd := range c.nodes {
		nd.table.receive("", part, c.now)
		nd.table.gossip = gossipQueue{}
	}
}

// runFor advances virtual time by d.
func (c *cluster) runFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance()
	}
}

// convergenceTimeout limits runUntil, in virtual time.
const convergenceTimeout = 10 * time.Minute

// runUntil runs until done returns true and returns the elapsed virtual time. It
// fails the test after convergenceTimeout.
func (c *cluster) runUntil(t testing.TB, done func() bool) time.Duration {
	t.Helper()
	start := c.now
	for !done() {
		if c.now.Sub(start) > convergenceTimeout {
			t.Fatalf("condition not met within %v", convergenceTimeout)
		}
		c.advance()
	}
	return c.now.Sub(start)
}

func (c *cluster) advance() {
	c.now = c.now.Add(time.Second / stepsPerPeriod)
	c.step++
	for _, nd := range c.nodes {
		if !nd.down && !nd.paused && c.step%stepsPerPeriod == nd.tickPhase {
			c.updateSessions(nd)
			for _, call := range nd.table.Tick(c.now) {
				c.call(nd, call)
			}
		}
	}
}

// updateSessions delivers the states of the agents that a node watches, or the
// loss of their sessions.
func (c *cluster) updateSessions(nd *node) {
	for _, name := range nd.table.Watches() {
		a := c.agents[c.agentIndex[name]]
		switch {
		case a.down || nd.unreachable[a.name]:
			nd.table.SessionLost(a.name, c.now)
		default:
			nd.table.AgentStateReceived(a.name, a.state, c.now)
		}
	}
}

func (c *cluster) call(from *node, call Call) {
	to := c.byAddress(call.Address)
	part := call.Message
	for range 1 + maxRepairs {
		from.countBytes(part)
		if to == nil || !c.delivers(from.index, to.index) || to.down || to.paused {
			from.table.HandleFailure(call.Address, c.now)
			return
		}
		answer := to.table.HandleExchange(from.table.cfg.Name, part, c.now)
		to.countBytes(answer)
		if !c.delivers(to.index, from.index) {
			from.table.HandleFailure(call.Address, c.now)
			return
		}
		if part = from.table.HandleAnswer(to.table.cfg.Name, answer, c.now); part == nil {
			return
		}
	}
}

func (c *cluster) delivers(from, to int) bool {
	return !c.blocked(from, to) && (c.lossRate == 0 || c.rng.Float64() >= c.lossRate)
}

func (c *cluster) byAddress(address string) *node {
	for _, nd := range c.nodes {
		if nd.table.cfg.Address == address {
			return nd
		}
	}
	return nil
}

func (nd *node) countBytes(p *wire.MemberPart) {
	m := &wire.PeerMessage{From: nd.table.cfg.Name, Incarnation: "i1", Member: p}
	nd.sentBytes += int64(proto.Size(m) + frameOverheadBytes)
}

// allRunning reports whether check returns true for every running node.
func (c *cluster) allRunning(check func(*node) bool) bool {
	for _, nd := range c.nodes {
		if !nd.down && !nd.paused && !check(nd) {
			return false
		}
	}
	return true
}

// memberIs returns a check whether every running node's table has the member in
// the state.
func (c *cluster) memberIs(member int, s State) func() bool {
	id := recordID(kindMember, fmt.Sprint("entry-", member))
	return func() bool {
		return c.allRunning(func(nd *node) bool { r := nd.table.records[id]; return r != nil && r.state == s })
	}
}

// allLive reports whether every running node's table has every node that is not
// down as live.
func (c *cluster) allLive() bool {
	return c.allRunning(func(nd *node) bool {
		live := 0
		for _, other := range c.nodes {
			r := nd.table.records[recordID(kindMember, other.table.cfg.Name)]
			if !other.down && (r == nil || r.state != Live) {
				return false
			}
			live++
		}
		return live > 0
	})
}

// endpointIs returns a check whether every running node's table has the endpoint
// in the state.
func (c *cluster) endpointIs(name string, s State) func() bool {
	return func() bool {
		return c.allRunning(func(nd *node) bool { e, _ := nd.table.Endpoint(name, c.now); return e.State == s })
	}
}
