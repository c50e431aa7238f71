package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
)

const (
	// pollShare is the part of the time in which a change must be in force
	// that passes between two reads of its source. A change is seen by the
	// watch, or, while that stays silent, by the next read.
	pollShare = 0.65
	// minPoll bounds the reads of deployments with short bounds.
	minPoll = 500 * time.Millisecond
	// watchWait bounds one watch, watchTimeout the wait for its answer beyond
	// that, watchRetry the pause after a failed one, watchSpacing that after
	// each, which bounds the calls when much changes.
	watchWait    = 10 * time.Second
	watchTimeout = time.Second
	watchRetry   = 300 * time.Millisecond
	watchSpacing = 30 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = time.Second
)

// reach logs the loss and the return of one dependency.
type reach struct {
	name string
	log  *slog.Logger
	lost bool
}

func (r *reach) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.log.Warn("dependency lost", "dependency", r.name, observe.FieldError, err)
	case err == nil && r.lost:
		r.lost = false
		r.log.Info("dependency regained", "dependency", r.name)
	}
}

// pollConfig reads the configuration again and again.
func (h *Host) pollConfig(ctx context.Context) {
	seen := &reach{name: "store: configuration", log: h.o.Log}
	for ctx.Err() == nil {
		err := h.readConfig(ctx)
		if errors.Is(err, backing.ErrNotFound) {
			err = nil // not written yet
		}
		if ctx.Err() == nil {
			seen.note(err)
		}
		pause := h.poll(h.o.Settings.ConfigApply)
		if err != nil || h.catalog.Current() == nil {
			pause = watchRetry
		}
		backing.Pause(ctx, pause)
	}
}

// poll is the time between reads of what must be in force within bound.
func (h *Host) poll(bound time.Duration) time.Duration {
	return max(minPoll, time.Duration(pollShare*float64(bound)))
}

func (h *Host) readConfig(ctx context.Context) error {
	sent := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kv, err := h.o.Ports.Store.Get(ctx, h.o.Ports.Config.Key)
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
		h.o.Log.Info("configuration in force", observe.FieldRevision, int64(kv.Revision), "config_version", c.Version)
	}
	return nil
}

// watchConfig takes changes of the configuration as they happen.
func (h *Host) watchConfig(ctx context.Context) {
	h.watch(ctx, h.o.Ports.Config.Key, h.catalog.Revision, func(events []backing.Event) {
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

// watch takes changes of a prefix, from the revision that was read last on. The
// polling reads find what a watch misses; after a failed one it begins anew.
func (h *Host) watch(ctx context.Context, prefix string, read func() int64, take func([]backing.Event)) {
	after := backing.Revision(0)
	for ctx.Err() == nil {
		after = max(after, backing.Revision(read()))
		if after == 0 {
			backing.Pause(ctx, watchRetry)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, next, err := h.o.Ports.Store.Watch(callCtx, prefix, after, watchWait)
		cancel()
		if err != nil {
			after = 0
			backing.Pause(ctx, watchRetry)
			continue
		}
		take(events)
		after = next
		backing.Pause(ctx, watchSpacing)
	}
}

// pollEndpoints lists the endpoints again and again, with a watch in between.
func (h *Host) pollEndpoints(ctx context.Context) {
	seen := &reach{name: "store: endpoints", log: h.o.Log}
	for ctx.Err() == nil {
		err := h.listEndpoints(ctx)
		if ctx.Err() == nil {
			seen.note(err)
		}
		if err != nil {
			h.endpoints.Failed()
			backing.Pause(ctx, watchRetry)
			continue
		}
		backing.Pause(ctx, h.poll(h.o.Settings.Drain))
	}
}

func (h *Host) listEndpoints(ctx context.Context) error {
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
	return nil
}

// watchEndpoints takes changes of endpoints as they happen.
func (h *Host) watchEndpoints(ctx context.Context) {
	h.watch(ctx, h.o.Ports.Endpoints.Prefix, h.listed.Load, h.takeEndpoints)
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
