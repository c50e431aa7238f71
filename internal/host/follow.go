package host

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
)

const (
	// watchWait bounds one watch, watchTimeout the wait for its answer beyond
	// that, watchRetry the pause after a failed one, watchSpacing that after
	// each, which bounds the calls when much changes.
	watchWait    = 10 * time.Second
	watchTimeout = time.Second
	watchRetry   = 300 * time.Millisecond
	watchSpacing = 30 * time.Millisecond
)

// readConfig reads the configuration and confirms it.
func (h *Host) readConfig(ctx context.Context) error {
	sent := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kv, err := h.o.Ports.Store.Get(ctx, h.o.Ports.Config.Key)
	if errors.Is(err, backing.ErrNotFound) {
		return errNothingYet
	}
	if err != nil {
		return err
	}
	if err := h.takeConfig(kv); err != nil {
		return err
	}
	h.catalog.Confirm(int64(kv.Revision), sent)
	return nil
}

// takeConfig puts a configuration in force if it is newer than the one held.
func (h *Host) takeConfig(kv backing.KeyValue) error {
	if int64(kv.Revision) <= h.catalog.Revision() {
		return nil
	}
	c, err := h.o.Ports.Config.Decode(kv.Value)
	if err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	if h.catalog.Offer(int64(kv.Revision), c) {
		h.group.Urge()
		h.o.Log.Info("configuration in force", observe.FieldRevision, int64(kv.Revision), "config_version", c.Version)
	}
	return nil
}

// watchConfig takes changes of the configuration as they happen.
func (h *Host) watchConfig(ctx context.Context) {
	h.watch(ctx, h.o.Ports.Config.Key, h.configs, h.catalog.Revision, func(events []backing.Event) {
		for _, ev := range events {
			if ev.Key != h.o.Ports.Config.Key || ev.Deleted {
				continue
			}
			if err := h.takeConfig(ev.KeyValue); err != nil {
				h.o.Log.Error("configuration cannot be used", observe.FieldError, err)
			}
		}
	})
}

// watch takes changes of a prefix, from the revision that was read last on,
// while this host follows the store. The reads find what a watch misses; after a
// failed one it begins anew.
func (h *Host) watch(ctx context.Context, prefix string, source *poller, read func() int64, take func([]backing.Event)) {
	after := backing.Revision(0)
	for ctx.Err() == nil {
		after = max(after, backing.Revision(read()))
		if after == 0 || !h.follows() {
			backing.Pause(ctx, roleLook)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, next, err := h.o.Ports.Store.Watch(callCtx, prefix, after, watchWait)
		cancel()
		if err != nil {
			after = 0
			if errors.Is(err, backing.ErrCompacted) {
				// What changed until the latest listing is found by a read.
				after = backing.Revision(h.listed.Load())
				source.Urge()
			}
			backing.Pause(ctx, watchRetry)
			continue
		}
		take(events)
		after = next
		backing.Pause(ctx, watchSpacing)
	}
}

// listEndpoints reads the whole registry and confirms it.
func (h *Host) listEndpoints(ctx context.Context) error {
	sent := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := h.o.Ports.Store.List(ctx, h.o.Ports.Endpoints.Prefix)
	if err != nil {
		return err
	}
	listing := make([]*endpoint.Endpoint, 0, len(items))
	for _, kv := range items {
		if e, ok := h.decodeEndpoint(kv); ok {
			listing = append(listing, e)
		}
	}
	h.changed(h.endpoints.Replace(time.Now(), int64(revision), listing))
	h.listed.Store(int64(revision))
	h.tell(h.registry.listing(items, revision))
	h.registry.confirm(sent)
	return nil
}

// tell notes changes of the registry that this host read itself, for its peers:
// those that it believes.
func (h *Host) tell(events []backing.Event) {
	events = slices.DeleteFunc(events, h.lapsed)
	if h.registry.read(time.Now(), events) > 0 {
		h.group.Urge()
	}
}

// lapsed says whether a change took an entry away in an outage.
func (h *Host) lapsed(ev backing.Event) bool {
	id, ok := h.o.Ports.Endpoints.ID(ev.Key)
	return ev.Deleted && ok && h.endpoints.Lapsed(id)
}

// watchEndpoints takes changes of endpoints as they happen.
func (h *Host) watchEndpoints(ctx context.Context) {
	h.watch(ctx, h.o.Ports.Endpoints.Prefix, h.listings, h.listed.Load, func(events []backing.Event) {
		h.takeEndpoints(events)
		h.tell(events)
	})
}

// takeEndpoints takes changes one by one: an entry may be written and removed
// within the events of one watch.
func (h *Host) takeEndpoints(events []backing.Event) {
	for _, ev := range events {
		if ev.Deleted {
			if id, ok := h.o.Ports.Endpoints.ID(ev.Key); ok {
				h.changed(h.endpoints.Remove(time.Now(), id, int64(ev.Revision)))
			}
			continue
		}
		if e, ok := h.decodeEndpoint(ev.KeyValue); ok {
			h.changed(h.endpoints.Put(time.Now(), e))
		}
	}
}

// settleEndpoints takes out what lapsed in an outage and did not come back.
func (h *Host) settleEndpoints(ctx context.Context) {
	for backing.Pause(ctx, roleLook) {
		h.settle(time.Now())
	}
}

func (h *Host) settle(now time.Time) {
	c := h.endpoints.Settle(now)
	h.changed(c)
	var events []backing.Event
	for _, e := range c.Left {
		events = append(events, removal(h.o.Ports.Endpoints.Prefix+e.ID, backing.Revision(h.listed.Load())))
	}
	h.tell(events)
}

func (h *Host) decodeEndpoint(kv backing.KeyValue) (*endpoint.Endpoint, bool) {
	e, err := h.o.Ports.Endpoints.Decode(kv)
	if err == nil {
		return e, true
	}
	if h.newlyForeign(kv) {
		h.o.Log.Warn("endpoint entry skipped", "key", kv.Key, observe.FieldRevision, int64(kv.Revision), observe.FieldError, err)
	}
	return nil, false
}

// newlyForeign says whether an entry that cannot be read was not seen before.
func (h *Host) newlyForeign(kv backing.KeyValue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.foreign[kv.Key] == kv.Revision {
		return false
	}
	if len(h.foreign) >= maxForeign {
		clear(h.foreign)
	}
	h.foreign[kv.Key] = kv.Revision
	return true
}

// maxForeign bounds the unusable entries that are remembered, so that each is
// logged once.
const maxForeign = 256

// changed logs what an update of the endpoints did and drops what was kept for
// those that left.
func (h *Host) changed(c endpoint.Change) {
	for _, e := range c.Added {
		h.o.Log.Info("endpoint added", observe.FieldEndpoint, e.ID, "address", e.Address, "service", e.Service, "stage", e.Stage.String())
	}
	for _, e := range c.Restaged {
		h.tracker.Switched(e.ID)
		h.o.Log.Info("endpoint changed its stage", observe.FieldEndpoint, e.ID, "stage", e.Stage.String())
	}
	for _, e := range c.Left {
		h.o.Log.Info("endpoint leaves", observe.FieldEndpoint, e.ID, "draining", e.Draining)
		h.tracker.Forget(e.ID)
		h.o.Ports.Connections.Drop(e.Address)
	}
}
