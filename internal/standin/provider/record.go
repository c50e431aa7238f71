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
	// Repeat reports whether an order with the same ID was accepted before.
	Repeat bool `json:"repeat,omitempty"`
	// Result is "done" or the error text.
	Result string `json:"result"`
	// HighestFence is the highest fencing token received so far, including the
	// one of this order.
	HighestFence int64 `json:"highest_fence"`
}

// Billed is the billed run time of one endpoint, in seconds.
type Billed struct {
	OrderID string                `json:"order_id"`
	Domain  string                `json:"domain"`
	State   backing.ProvidedState `json:"state"`
	Seconds float64               `json:"seconds"`
}

// Record lists the orders and returns received and the endpoints billed.
type Record struct {
	Orders []Order  `json:"orders"`
	Billed []Billed `json:"billed"`
}

// Record returns the orders received and the bill up to now.
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

// addRecord logs an order or a return with its result. The caller must hold mu.
func (p *Provider) addRecord(o Order, err error) {
	o.At = time.Now()
	o.Result = "done"
	if err != nil {
		o.Result = err.Error()
	}
	o.HighestFence = p.fence
	p.orders.Add(o)
}
