package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// orderStepper performs the next step of an order according to its stage. Each
// step is idempotent.
type orderStepper struct {
	pools           *Pools
	view            *snapshot.View
	pool            string
	fence           int64
	providedByOrder map[string]backing.ProvidedEndpoint
	states          []endpointState
}

// step performs one step and returns the stage that the order has reached. retain
// is false once the order is complete and can be removed from the record.
func (s *orderStepper) step(ctx context.Context, o poolOrder) (to stage, retain bool, err error) {
	switch o.Stage {
	case stageIntended:
		return s.placeOrder(ctx, o)
	case stageOrdered:
		return s.awaitStart(ctx, o)
	case stageRunning:
		return s.checkRunning(o)
	case stageDraining:
		return s.drain(ctx, o)
	case stageEmptying:
		return s.awaitIdle(o)
	case stageReturning:
		return s.returnEndpoint(ctx, o)
	default:
		return o.Stage, true, errors.Errorf("unknown stage %q", o.Stage)
	}
}

// placeOrder sends the order to the platform, which deduplicates it by its ID. An
// order that the platform rejects is complete.
func (s *orderStepper) placeOrder(ctx context.Context, o poolOrder) (stage, bool, error) {
	_, err := s.pools.opts.Provider.Order(ctx, backing.EndpointOrder{
		ID:     o.ID,
		Fence:  s.fence,
		Domain: o.Domain,
		Pool:   s.pool,
		Issuer: s.pools.opts.Host,
	})
	if errors.Is(err, backing.ErrRejected) {
		return o.Stage, false, nil
	}
	if err != nil {
		return o.Stage, true, errors.Wrap(err, "order endpoint")
	}
	return stageOrdered, true, nil
}

// awaitStart adds the endpoint to the configuration once it is running, and starts
// draining if the platform has withdrawn it.
func (s *orderStepper) awaitStart(ctx context.Context, o poolOrder) (stage, bool, error) {
	e, ok := s.providedByOrder[o.ID]
	if !ok {
		return o.Stage, true, nil
	}
	switch e.State {
	case backing.ProvidedRunning:
		return stageRunning, true, s.addEndpoint(ctx, o, e)
	case backing.ProvidedWithdrawn, backing.ProvidedReturned:
		return stageDraining, true, nil
	case backing.ProvidedStarting:
	}
	return o.Stage, true, nil
}

// checkRunning starts draining once the platform no longer reports the endpoint as
// running.
func (s *orderStepper) checkRunning(o poolOrder) (stage, bool, error) {
	if e, ok := s.providedByOrder[o.ID]; ok && e.State != backing.ProvidedRunning {
		return stageDraining, true, nil
	}
	return o.Stage, true, nil
}

// drain marks the endpoint as draining.
func (s *orderStepper) drain(ctx context.Context, o poolOrder) (stage, bool, error) {
	r, declared := s.view.Get(resource.KindEndpoint, o.ID)
	if !declared {
		return stageReturning, true, nil
	}
	var spec resource.EndpointSpec
	if err := json.Unmarshal(r.Spec, &spec); err != nil {
		return o.Stage, true, errors.Wrap(err, "endpoint spec")
	}
	if !spec.Draining {
		spec.Draining = true
		if err := s.putEndpoint(ctx, o.ID, spec); err != nil {
			return o.Stage, true, err
		}
	}
	return stageEmptying, true, nil
}

// inForceTime is the time after which each entry host uses an accepted change of the
// configuration, or no keyed route at all.
const inForceTime = snapshot.FreshFor + snapshot.InForceMargin

// awaitIdle waits until each entry host knows that the endpoint drains, and then until
// it is idle, or until there is no state of its agent and the platform no longer
// reports it as running.
func (s *orderStepper) awaitIdle(o poolOrder) (stage, bool, error) {
	if time.Since(o.Since) < inForceTime || s.busy(o.ID) {
		return o.Stage, true, nil
	}
	return stageReturning, true, nil
}

// busy reports whether the endpoint has or may have requests in flight. Without a
// state of its agent, the endpoint counts as busy as long as the platform reports
// it as running: entry hosts that do not know yet that it is draining may still
// send it requests.
func (s *orderStepper) busy(endpoint string) bool {
	for _, e := range s.states {
		if e.Name == endpoint && e.state != nil {
			return e.state.InFlight > 0
		}
	}
	e, ok := s.providedByOrder[endpoint]
	return ok && e.State == backing.ProvidedRunning
}

// returnEndpoint removes the endpoint from the configuration and returns it to the
// platform.
func (s *orderStepper) returnEndpoint(ctx context.Context, o poolOrder) (stage, bool, error) {
	if err := s.removeEndpoint(ctx, o.ID); err != nil {
		return o.Stage, true, err
	}
	err := s.pools.opts.Provider.Return(ctx, o.ID, s.fence, s.pools.opts.Host)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return o.Stage, true, errors.Wrap(err, "return endpoint")
	}
	return o.Stage, false, nil
}

// addEndpoint adds the endpoint to the configuration.
func (s *orderStepper) addEndpoint(ctx context.Context, o poolOrder, e backing.ProvidedEndpoint) error {
	return s.putEndpoint(ctx, o.ID, resource.EndpointSpec{
		Kind:   resource.EndpointEngine,
		Domain: o.Domain,
		Pool:   s.pool,
		Agent:  e.Agent,
		Models: []string{s.view.Pools()[s.pool].Model},
	})
}

// putEndpoint writes the endpoint resource unless it already has the given spec.
func (s *orderStepper) putEndpoint(ctx context.Context, name string, spec resource.EndpointSpec) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "endpoint spec")
	}
	_, err = s.pools.opts.Config.Change(ctx, func(v *snapshot.View) (snapshot.Change, error) {
		r, known := v.Get(resource.KindEndpoint, name)
		if known && string(r.Spec) == string(raw) {
			return snapshot.Change{}, nil
		}
		next := resource.Resource{Kind: resource.KindEndpoint, Name: name, Generation: r.Generation + 1, Spec: raw}
		return snapshot.Change{Items: []snapshot.Item{{Resource: next}}}, nil
	})
	return errors.Wrap(err, "change endpoint resource")
}

// removeEndpoint deletes the endpoint resource if it exists.
func (s *orderStepper) removeEndpoint(ctx context.Context, name string) error {
	_, err := s.pools.opts.Config.Change(ctx, func(v *snapshot.View) (snapshot.Change, error) {
		r, known := v.Get(resource.KindEndpoint, name)
		if !known {
			return snapshot.Change{}, nil
		}
		return snapshot.Change{Items: []snapshot.Item{{Resource: r, Deleted: true}}}, nil
	})
	return errors.Wrap(err, "remove endpoint resource")
}
