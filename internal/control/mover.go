package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// mover takes the step that an order's stage calls for. Each step may be
// repeated.
type mover struct {
	pools    *Pools
	view     *snapshot.View
	pool     string
	fence    int64
	provided map[string]backing.ProvidedEndpoint
	states   []described
}

// move returns the stage that the order has reached, and false when it is over.
func (m *mover) move(ctx context.Context, o poolOrder) (to stage, keep bool, err error) {
	switch o.Stage {
	case stageIntended:
		return m.order(ctx, o)
	case stageOrdered:
		return m.awaitStart(ctx, o)
	case stageRunning:
		return m.watch(o)
	case stageDraining:
		return m.drain(ctx, o)
	case stageReturning:
		return m.giveBack(ctx, o)
	default:
		return o.Stage, true, errors.Errorf("unknown stage %q", o.Stage)
	}
}

// order places the order; the platform takes it once however often it is sent.
func (m *mover) order(ctx context.Context, o poolOrder) (stage, bool, error) {
	_, err := m.pools.opts.Provider.Order(ctx, backing.EndpointOrder{
		ID:     o.ID,
		Fence:  m.fence,
		Domain: o.Domain,
		Pool:   m.pool,
		Issuer: m.pools.opts.Host,
	})
	if errors.Is(err, backing.ErrRejected) {
		return o.Stage, false, nil
	}
	if err != nil {
		return o.Stage, true, errors.Wrap(err, "order endpoint")
	}
	return stageOrdered, true, nil
}

// awaitStart adds the endpoint to the configuration once it runs.
func (m *mover) awaitStart(ctx context.Context, o poolOrder) (stage, bool, error) {
	e, ok := m.provided[o.ID]
	if !ok {
		return o.Stage, true, nil
	}
	switch e.State {
	case backing.ProvidedRunning:
		return stageRunning, true, m.declare(ctx, o, e)
	case backing.ProvidedWithdrawn, backing.ProvidedReturned:
		return stageDraining, true, nil
	case backing.ProvidedStarting:
	}
	return o.Stage, true, nil
}

func (m *mover) watch(o poolOrder) (stage, bool, error) {
	if e, ok := m.provided[o.ID]; ok && e.State != backing.ProvidedRunning {
		return stageDraining, true, nil
	}
	return o.Stage, true, nil
}

// drain stops new work and waits until the endpoint is idle, or its agent gone.
func (m *mover) drain(ctx context.Context, o poolOrder) (stage, bool, error) {
	r, declared := m.view.Get(resource.KindEndpoint, o.ID)
	if !declared {
		return stageReturning, true, nil
	}
	var spec resource.EndpointSpec
	if err := json.Unmarshal(r.Spec, &spec); err != nil {
		return o.Stage, true, errors.Wrap(err, "endpoint spec")
	}
	if !spec.Draining {
		spec.Draining = true
		return o.Stage, true, m.put(ctx, o.ID, spec)
	}
	if m.busy(o.ID) {
		return o.Stage, true, nil
	}
	return stageReturning, true, nil
}

// busy says whether the endpoint still has work or may still be given some:
// one that does not say that it drains has not heard of it.
func (m *mover) busy(endpoint string) bool {
	for _, d := range m.states {
		if d.Name == endpoint && d.state != nil {
			return d.state.InFlight > 0
		}
	}
	e, ok := m.provided[endpoint]
	return ok && e.State == backing.ProvidedRunning
}

// giveBack removes the endpoint from the configuration and returns it.
func (m *mover) giveBack(ctx context.Context, o poolOrder) (stage, bool, error) {
	if err := m.remove(ctx, o.ID); err != nil {
		return o.Stage, true, err
	}
	err := m.pools.opts.Provider.Return(ctx, o.ID, m.fence, m.pools.opts.Host)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return o.Stage, true, errors.Wrap(err, "return endpoint")
	}
	return o.Stage, false, nil
}

// declare adds the endpoint to the configuration.
func (m *mover) declare(ctx context.Context, o poolOrder, e backing.ProvidedEndpoint) error {
	return m.put(ctx, o.ID, resource.EndpointSpec{
		Kind:   resource.EndpointEngine,
		Domain: o.Domain,
		Pool:   m.pool,
		Agent:  e.Agent,
		Models: []string{m.view.Pools()[m.pool].Model},
	})
}

func (m *mover) put(ctx context.Context, name string, spec resource.EndpointSpec) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "endpoint spec")
	}
	_, err = m.pools.opts.Config.Change(ctx, func(v *snapshot.View) (snapshot.Change, error) {
		r, known := v.Get(resource.KindEndpoint, name)
		if known && string(r.Spec) == string(raw) {
			return snapshot.Change{}, nil
		}
		next := resource.Resource{Kind: resource.KindEndpoint, Name: name, Generation: r.Generation + 1, Spec: raw}
		return snapshot.Change{Items: []snapshot.Item{{Resource: next}}}, nil
	})
	return errors.Wrap(err, "change endpoint resource")
}

func (m *mover) remove(ctx context.Context, name string) error {
	_, err := m.pools.opts.Config.Change(ctx, func(v *snapshot.View) (snapshot.Change, error) {
		r, known := v.Get(resource.KindEndpoint, name)
		if !known {
			return snapshot.Change{}, nil
		}
		return snapshot.Change{Items: []snapshot.Item{{Resource: r, Deleted: true}}}, nil
	})
	return errors.Wrap(err, "remove endpoint resource")
}
