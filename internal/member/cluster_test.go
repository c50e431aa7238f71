package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// stepsPerPeriod divides a period, so that members tick at different moments.
const stepsPerPeriod = 10

// frameBytes is counted for each message: TCP and IP headers, a TLS record, a
// drpc frame.
const frameBytes = 70

// cluster runs many tables in virtual time over a network with faults.
type cluster struct {
	now    time.Time
	step   int
	nodes  []*node
	agents []*agent
	// agentIndex maps names to agents.
	agentIndex map[string]int
	rng        *rand.Rand
	// blocked says whether messages from one node to another are lost.
	blocked func(from, to int) bool
	loss    float64
}

type node struct {
	index  int
	table  *Table
	phase  int
	down   bool
	paused bool
	sent   int64
	// unreachable are agents that this node can't reach.
	unreachable map[string]bool
}

type agent struct {
	name  string
	ref   EndpointRef
	down  bool
	state *wire.AgentState
}

func nodeAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, 1+i%250) }

// newCluster returns n entry hosts over domains, which know the first three,
// and endpoints with their agents.
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
		c.add(i, domains, "i1").table.SetEndpoints(c.refs())
	}
	return c
}

// refs returns the configuration's endpoints.
func (c *cluster) refs() []EndpointRef {
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
		Period: time.Second, Fanout: 2, Suspect: 5 * time.Second, HostList: 5 * time.Second,
		Watchers: 3, Seed: c.rng.Uint64(),
	}
	nd := &node{index: i, table: NewTable(cfg, c.now), phase: c.rng.IntN(stepsPerPeriod), unreachable: map[string]bool{}}
	if i < len(c.nodes) {
		c.nodes[i] = nd
	} else {
		c.nodes = append(c.nodes, nd)
	}
	return nd
}

// know gives every table the records of all, as after a long time together.
func (c *cluster) know() {
	part := &wire.MemberPart{}
	for _, nd := range c.nodes {
		nd.table.self.addTo(part)
	}
	for i, a := range c.agents {
		part.Endpoints = append(part.Endpoints, &wire.EndpointState{
			Name: a.name, Incarnation: a.state.GetIncarnation(), Version: uint64(i), Agent: a.state,
		})
	}
	for _, nd := range c.nodes {
		nd.table.take("", part, c.now)
		nd.table.hot = hotQueue{}
	}
}

// run lets virtual time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance()
	}
}

// limit is how long until waits, in virtual time.
const limit = 10 * time.Minute

// until runs until done is true and returns how long it took.
func (c *cluster) until(t testing.TB, done func() bool) time.Duration {
	t.Helper()
	start := c.now
	for !done() {
		if c.now.Sub(start) > limit {
			t.Fatalf("not reached within %v", limit)
		}
		c.advance()
	}
	return c.now.Sub(start)
}

func (c *cluster) advance() {
	c.now = c.now.Add(time.Second / stepsPerPeriod)
	c.step++
	for _, nd := range c.nodes {
		if !nd.down && !nd.paused && c.step%stepsPerPeriod == nd.phase {
			c.sessions(nd)
			for _, call := range nd.table.Tick(c.now) {
				c.call(nd, call)
			}
		}
	}
}

// sessions lets the agents that a node watches speak to it.
func (c *cluster) sessions(nd *node) {
	for _, name := range nd.table.Watches() {
		a := c.agents[c.agentIndex[name]]
		switch {
		case a.down || nd.unreachable[a.name]:
			nd.table.Lost(a.name, c.now)
		default:
			nd.table.Observe(a.name, a.state, c.now)
		}
	}
}

func (c *cluster) call(from *node, call Call) {
	to := c.byAddress(call.Address)
	part := call.Part
	for range 1 + maxRepairs {
		from.count(part)
		if to == nil || !c.delivers(from.index, to.index) || to.down || to.paused {
			from.table.Failed(call.Address, c.now)
			return
		}
		answer := to.table.HandleExchange(from.table.cfg.Name, part, c.now)
		to.count(answer)
		if !c.delivers(to.index, from.index) {
			from.table.Failed(call.Address, c.now)
			return
		}
		if part = from.table.Answered(to.table.cfg.Name, answer, c.now); part == nil {
			return
		}
	}
}

func (c *cluster) delivers(from, to int) bool {
	return !c.blocked(from, to) && (c.loss == 0 || c.rng.Float64() >= c.loss)
}

func (c *cluster) byAddress(address string) *node {
	for _, nd := range c.nodes {
		if nd.table.cfg.Address == address {
			return nd
		}
	}
	return nil
}

func (nd *node) count(p *wire.MemberPart) {
	m := &wire.PeerMessage{From: nd.table.cfg.Name, Incarnation: "i1", Member: p}
	nd.sent += int64(proto.Size(m) + frameBytes)
}

// all says whether every running table holds what check demands.
func (c *cluster) all(check func(*node) bool) bool {
	for _, nd := range c.nodes {
		if !nd.down && !nd.paused && !check(nd) {
			return false
		}
	}
	return true
}

// sees says whether every running table has the member in the state.
func (c *cluster) sees(member int, s State) func() bool {
	id := hashName(kindMember, fmt.Sprint("entry-", member))
	return func() bool {
		return c.all(func(nd *node) bool { r := nd.table.records[id]; return r != nil && r.state == s })
	}
}

// allLive says whether every running table has every running member live.
func (c *cluster) allLive() bool {
	return c.all(func(nd *node) bool {
		live := 0
		for _, other := range c.nodes {
			r := nd.table.records[hashName(kindMember, other.table.cfg.Name)]
			if !other.down && (r == nil || r.state != Live) {
				return false
			}
			live++
		}
		return live > 0
	})
}

// endpointIs says whether every running table has the endpoint in the state.
func (c *cluster) endpointIs(name string, s State) func() bool {
	return func() bool {
		return c.all(func(nd *node) bool { e, _ := nd.table.Endpoint(name, c.now); return e.State == s })
	}
}
