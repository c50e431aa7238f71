//go:build linux

package fault

import (
	"sync"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// gates are the gates by the name of their link.
var gates sync.Map

func init() { toxics.Register("gate", new(gateToxic)) }

// direction is a direction of a link as toxiproxy names it.
type direction string

const (
	upstream   direction = "upstream"
	downstream direction = "downstream"
)

// gate holds back the bytes of a link. Held bytes flow on when the gate opens,
// as they do after a partition; nothing is closed.
type gate struct {
	mu   sync.Mutex
	held map[direction]bool
	// born counts up with each silence: links from before it stay silent.
	born    int
	changed chan struct{}
}

func newGate() *gate {
	return &gate{held: make(map[direction]bool), changed: make(chan struct{})}
}

// hold closes or opens the gate in one direction, for all connections.
func (g *gate) hold(d direction, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[d] = held
	g.notify()
}

// silence lets the connections that are open now go silent for good, while
// new ones work.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.born++
	g.notify()
}

func (g *gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) state(d direction, born int) (blocked bool, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held[d] || born < g.born, g.changed
}

// gateToxic is the gate as a toxic of the proxy library.
type gateToxic struct {
	Link      string    `json:"link"`
	Direction direction `json:"direction"`
}

func (t *gateToxic) gate() *gate {
	found, _ := gates.Load(t.Link)
	return found.(*gate)
}

// NewState implements toxics.StatefulToxic: it notes when a connection began.
func (t *gateToxic) NewState() any {
	g := t.gate()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.born
}

// Pipe implements toxics.Toxic.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	g := t.gate()
	born, _ := stub.State.(int)
	for {
		blocked, changed := g.state(t.Direction, born)
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
