package provider

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Order is one order or return that the provider received.
type Order struct {
	At   time.Time `json:"at"`
	Kind string    `json:"kind"`
	backing.EndpointOrder
	// Repeat is true if an order with its id was taken before.
	Repeat bool `json:"repeat,omitempty"`
	// Result is "done" or the error.
	Result string `json:"result"`
	// HighestFence is the highest fencing number received so far.
	HighestFence int64 `json:"highest_fence"`
}

// Billed is what one endpoint cost.
type Billed struct {
	OrderID string                `json:"order_id"`
	Domain  string                `json:"domain"`
	State   backing.ProvidedState `json:"state"`
	Seconds float64               `json:"seconds"`
}

// Record is all that the provider received, and what it bills.
type Record struct {
	Orders []Order  `json:"orders"`
	Billed []Billed `json:"billed"`
}

// Record returns what the provider received.
func (p *Provider) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Record{Orders: p.orders.All()}
	for id, e := range p.endpoints {
		end := e.ended
		if end.IsZero() {
			end = time.Now()
		}
		r.Billed = append(r.Billed, Billed{
			OrderID: id, Domain: e.Domain, State: e.State, Seconds: end.Sub(e.BilledSince).Seconds(),
		})
	}
	return r
}

// addRecord is called with mu held.
func (p *Provider) addRecord(o Order, err error) {
	o.At = time.Now()
	o.Result = "done"
	if err != nil {
		o.Result = err.Error()
	}
	o.HighestFence = p.fence
	p.orders.Add(o)
}
