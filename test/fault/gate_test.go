//go:build linux

package fault

import (
	"sync"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// gatesByLink maps the name of a link to its *gate. The proxy library creates
// toxics from JSON attributes, so they look up their gate by name.
var gatesByLink sync.Map

func init() { toxics.Register("gate", new(gateToxic)) }

// direction is a toxiproxy stream direction.
type direction string

const (
	upstream   direction = "upstream"
	downstream direction = "downstream"
)

// gate blocks the byte streams of a link. As in a network partition, no
// connection is closed, and blocked bytes are delivered once the gate opens.
type gate struct {
	mu sync.Mutex
	// blocked holds the directions that are blocked for all connections.
	blocked map[direction]bool
	// generation is incremented by silenceConnections. Connections of an older
	// generation are blocked permanently.
	generation int
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

func newGate() *gate {
	return &gate{blocked: make(map[direction]bool), changed: make(chan struct{})}
}

// setBlocked blocks or unblocks one direction of all connections.
func (g *gate) setBlocked(d direction, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked[d] = blocked
	g.notify()
}

// silenceConnections blocks the currently open connections permanently, without
// closing them. New connections work.
func (g *gate) silenceConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation++
	g.notify()
}

func (g *gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) blockState(d direction, generation int) (blocked bool, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked[d] || generation < g.generation, g.changed
}

// gateToxic applies a gate to one direction of a link as a toxiproxy toxic.
type gateToxic struct {
	Link      string    `json:"link"`
	Direction direction `json:"direction"`
}

func (t *gateToxic) gate() *gate {
	value, _ := gatesByLink.Load(t.Link)
	return value.(*gate)
}

// NewState implements toxics.StatefulToxic. It returns the gate's generation at
// the start of a connection.
func (t *gateToxic) NewState() any {
	g := t.gate()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// Pipe implements toxics.Toxic.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	g := t.gate()
	generation, _ := stub.State.(int)
	for {
		blocked, changed := g.blockState(t.Direction, generation)
		input := stub.Input
		if blocked {
			input = nil
		}
		select {
		case <-stub.Interrupt:
			return
		case <-changed:
		case chunk := <-input:
			if chunk == nil {
				stub.Close()
				return
			}
			stub.Output <- chunk
		}
	}
}
