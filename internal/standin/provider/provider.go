// Package provider is a stand-in for the platform interface for ordering and
// returning endpoints by failure domain. A Provider implements backing.Provider
// and also serves the wire format of backing.HTTPProvider.
package provider

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/record"
	"github.com/pkg/errors"
)

// Provider holds the ordered endpoints. It is safe for concurrent use.
type Provider struct {
	options Options
	faults  *fault.Switch
	orders  record.Log[Order]

	// mu guards the fields below.
	mu        sync.Mutex
	endpoints map[string]*endpoint
	fence     int64
	// full is the set of failure domains without capacity for new endpoints.
	full map[string]bool
}

var _ backing.Provider = (*Provider)(nil)

// endpoint is an ordered endpoint. Its timer runs until the endpoint starts;
// ended is zero until it is returned or withdrawn.
type endpoint struct {
	backing.ProvidedEndpoint
	timer *time.Timer
	ended time.Time
}

// New returns a provider without endpoints.
func New(o Options) *Provider {
	if o.StartTime <= 0 {
		o.StartTime = defaultStartTime
	}
	return &Provider{
		options:   o,
		faults:    fault.New(o.Seed),
		endpoints: make(map[string]*endpoint),
		full:      make(map[string]bool),
	}
}

// Order implements backing.Provider.
func (p *Provider) Order(_ context.Context, order backing.EndpointOrder) (backing.ProvidedEndpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, repeat := p.endpoints[order.ID]
	provided, err := p.placeOrder(order)
	p.addRecord(Order{Kind: "order", EndpointOrder: order, Repeat: repeat}, err)
	return provided, err
}

// placeOrder accepts or refuses an order. The caller must hold mu.
func (p *Provider) placeOrder(o backing.EndpointOrder) (backing.ProvidedEndpoint, error) {
	if err := p.checkFence(o.Fence); err != nil {
		return backing.ProvidedEndpoint{}, err
	}
	if e := p.endpoints[o.ID]; e != nil {
		return e.ProvidedEndpoint, nil
	}
	if o.ID == "" || o.Domain == "" {
		return backing.ProvidedEndpoint{}, errors.Wrap(backing.ErrRejected, "order without id or domain")
	}
	if p.full[o.Domain] {
		return backing.ProvidedEndpoint{}, errors.Wrapf(backing.ErrUnavailable, "no capacity in %s", o.Domain)
	}
	e := &endpoint{ProvidedEndpoint: backing.ProvidedEndpoint{
		OrderID: o.ID, Domain: o.Domain, Pool: o.Pool,
		State: backing.ProvidedStarting, BilledSince: time.Now(),
	}}
	p.endpoints[o.ID] = e
	e.timer = time.AfterFunc(p.options.StartTime, func() { p.finishStart(o, e) })
	return e.ProvidedEndpoint, nil
}

// finishStart runs when the start time of an endpoint is over. It stops the
// endpoint again if it was returned or withdrawn in the meantime.
func (p *Provider) finishStart(o backing.EndpointOrder, e *endpoint) {
	agent := ""
	if p.options.Start != nil {
		agent = p.options.Start(o)
	}
	p.mu.Lock()
	running := e.State == backing.ProvidedStarting
	if running {
		e.State = backing.ProvidedRunning
		e.Agent = agent
	}
	p.mu.Unlock()
	if !running {
		p.callStop(o.ID)
	}
}

// Return implements backing.Provider.
func (p *Provider) Return(_ context.Context, orderID string, fence int64, issuer string) error {
	p.mu.Lock()
	err := p.checkFence(fence)
	if err == nil {
		err = p.endEndpoint(orderID, backing.ProvidedReturned)
	}
	o := backing.EndpointOrder{ID: orderID, Fence: fence, Issuer: issuer}
	p.addRecord(Order{Kind: "return", EndpointOrder: o}, err)
	p.mu.Unlock()
	if err == nil {
		p.callStop(orderID)
	}
	return err
}

// Withdraw ends an endpoint, as the platform may do at any time. The error is
// backing.ErrNotFound for an unknown order.
func (p *Provider) Withdraw(orderID string) error {
	p.mu.Lock()
	err := p.endEndpoint(orderID, backing.ProvidedWithdrawn)
	p.mu.Unlock()
	if err == nil {
		p.callStop(orderID)
	}
	return err
}

// SetFull sets whether a failure domain is out of capacity for new endpoints.
func (p *Provider) SetFull(domain string, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full[domain] = full
}

// Endpoints implements backing.Provider.
func (p *Provider) Endpoints(_ context.Context, pool string) ([]backing.ProvidedEndpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []backing.ProvidedEndpoint{}
	for _, e := range p.endpoints {
		expired := e.State == backing.ProvidedReturned && time.Since(e.ended) > returnedRetention
		if e.Pool == pool && !expired {
			list = append(list, e.ProvidedEndpoint)
		}
	}
	slices.SortFunc(list, func(a, b backing.ProvidedEndpoint) int {
		return cmp.Compare(a.OrderID, b.OrderID)
	})
	return list, nil
}

// endEndpoint puts an endpoint into a final state. The caller must hold mu.
func (p *Provider) endEndpoint(orderID string, state backing.ProvidedState) error {
	e := p.endpoints[orderID]
	if e == nil {
		return errors.Wrapf(backing.ErrNotFound, "endpoint order %q", orderID)
	}
	if e.ended.IsZero() {
		e.timer.Stop()
		e.ended = time.Now()
	}
	e.State = state
	return nil
}

func (p *Provider) callStop(orderID string) {
	if p.options.Stop != nil {
		p.options.Stop(orderID)
	}
}

// checkFence refuses a fencing token lower than the highest one received, if
// Options.ChecksFencing is set. The caller must hold mu.
func (p *Provider) checkFence(fence int64) error {
	if p.options.ChecksFencing && fence < p.fence {
		return errors.Wrapf(backing.ErrFenced, "%d is below %d", fence, p.fence)
	}
	p.fence = max(p.fence, fence)
	return nil
}
