// Package provider is a stand-in for the platform's interface that orders and
// returns endpoints by failure domain. A Provider is a backing.Provider
// itself and also serves the wire format of backing.HTTPProvider.
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

// Provider holds the ordered endpoints.
type Provider struct {
	options  Options
	switches *fault.Switch
	orders   record.Log[Order]

	// mu guards all below.
	mu        sync.Mutex
	endpoints map[string]*endpoint
	fence     int64
	// full lists domains without capacity.
	full map[string]bool
}

var _ backing.Provider = (*Provider)(nil)

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
		switches:  fault.New(o.Seed),
		endpoints: make(map[string]*endpoint),
		full:      make(map[string]bool),
	}
}

// Order implements backing.Provider.
func (p *Provider) Order(_ context.Context, o backing.EndpointOrder) (backing.ProvidedEndpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, repeat := p.endpoints[o.ID]
	e, err := p.order(o)
	p.addRecord(Order{Kind: "order", EndpointOrder: o, Repeat: repeat}, err)
	return e, err
}

// order is called with mu held.
func (p *Provider) order(o backing.EndpointOrder) (backing.ProvidedEndpoint, error) {
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
	e.timer = time.AfterFunc(p.options.StartTime, func() { p.started(o, e) })
	return e.ProvidedEndpoint, nil
}

// started runs when an endpoint's start time is over.
func (p *Provider) started(o backing.EndpointOrder, e *endpoint) {
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
		p.stop(o.ID)
	}
}

// Return implements backing.Provider.
func (p *Provider) Return(_ context.Context, orderID string, fence int64, issuer string) error {
	p.mu.Lock()
	err := p.checkFence(fence)
	if err == nil {
		err = p.end(orderID, backing.ProvidedReturned)
	}
	o := backing.EndpointOrder{ID: orderID, Fence: fence, Issuer: issuer}
	p.addRecord(Order{Kind: "return", EndpointOrder: o}, err)
	p.mu.Unlock()
	if err == nil {
		p.stop(orderID)
	}
	return err
}

// Withdraw takes an endpoint away, as the platform does without being asked.
func (p *Provider) Withdraw(orderID string) error {
	p.mu.Lock()
	err := p.end(orderID, backing.ProvidedWithdrawn)
	p.mu.Unlock()
	if err == nil {
		p.stop(orderID)
	}
	return err
}

// SetFull switches whether a domain has no capacity for new endpoints.
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
		old := e.State == backing.ProvidedReturned && time.Since(e.ended) > returnedFor
		if e.Pool == pool && !old {
			list = append(list, e.ProvidedEndpoint)
		}
	}
	slices.SortFunc(list, func(a, b backing.ProvidedEndpoint) int {
		return cmp.Compare(a.OrderID, b.OrderID)
	})
	return list, nil
}

// end is called with mu held.
func (p *Provider) end(orderID string, state backing.ProvidedState) error {
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

func (p *Provider) stop(orderID string) {
	if p.options.Stop != nil {
		p.options.Stop(orderID)
	}
}

// checkFence is called with mu held.
func (p *Provider) checkFence(fence int64) error {
	if p.options.ChecksFencing && fence < p.fence {
		return errors.Wrapf(backing.ErrFenced, "%d is below %d", fence, p.fence)
	}
	p.fence = max(p.fence, fence)
	return nil
}
