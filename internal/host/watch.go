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
	// watchWait bounds one long poll of the store.
	watchWait = 10 * time.Second
	// watchTimeout is the time beyond watchWait after which a long poll times out.
	watchTimeout = time.Second
	// watchRetryDelay is the pause after a failed long poll.
	watchRetryDelay = 300 * time.Millisecond
	// watchPause is the pause after each long poll. It bounds the rate of calls
	// when there are many changes.
	watchPause = 30 * time.Millisecond
)

// readConfig reads the configuration, applies it and confirms it.
func (h *Host) readConfig(ctx context.Context) error {
	sent := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kv, err := h.getConfig(ctx)
	if errors.Is(err, backing.ErrNotFound) {
		return errNotWritten
	}
	if err != nil {
		return err
	}
	if err := h.applyConfig(kv); err != nil {
		return err
	}
	if h.catalog.Behind() {
		return errOlderConfig
	}
	h.catalog.Confirm(kv.Revision, sent)
	return nil
}

// getConfig reads the configuration, and the evacuations if there may be any.
func (h *Host) getConfig(ctx context.Context) (backing.KeyValue, error) {
	key := h.opts.Ports.Config.Key
	if !h.evacuates() {
		return h.opts.Ports.Store.Get(ctx, key)
	}
	items, revision, err := h.opts.Ports.Store.List(ctx, h.operatorPrefix())
	if err != nil {
		return backing.KeyValue{}, err
	}
	h.listEvacuations(items, revision)
	for _, kv := range items {
		if kv.Key == key {
			return kv, nil
		}
	}
	return backing.KeyValue{}, backing.ErrNotFound
}

// errOlderConfig reports that the store has an older configuration than is known.
var errOlderConfig = errors.New("the store was restored and has an older configuration")

// applyConfig puts a configuration in force if it is newer than the current one.
func (h *Host) applyConfig(kv backing.KeyValue) error {
	if kv.Revision <= h.catalog.Revision() {
		return nil
	}
	config, err := h.opts.Ports.Config.Decode(kv.Value)
	if err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	if h.catalog.Update(kv.Revision, config) {
		h.tracker.SetColdServices(h.coldServices(config))
		h.group.TriggerExchange()
		h.opts.Log.Info("configuration in force", observe.FieldRevision, int64(kv.Revision), "config_version", config.Version)
	} else if h.catalog.Behind() {
		h.opts.Log.Warn("configuration in the store is older", observe.FieldRevision, int64(kv.Revision), "config_version", config.Version)
	}
	return nil
}

// watchConfig applies changes of the configuration and of evacuations as they happen, while
// this host is a store watcher.
func (h *Host) watchConfig(ctx context.Context) {
	h.watch(ctx, h.operatorPrefix(), h.configPoller, h.catalog.Revision, h.applyOperatorEvents)
}

// applyOperatorEvents applies changes of the keys that operators write.
func (h *Host) applyOperatorEvents(events []backing.Event) {
	for _, ev := range events {
		if e, ok := h.evacuationOf(ev); ok {
			h.applyEvacuations([]endpoint.Evacuation{e})
		}
		if ev.Key != h.opts.Ports.Config.Key || ev.Deleted {
			continue
		}
		if err := h.applyConfig(ev.KeyValue); err != nil {
			h.opts.Log.Error("failed to apply the configuration", observe.FieldError, err)
		}
	}
}

// watch applies changes under a prefix while this host is a store watcher. It starts
// from the revision last read and restarts there after a failed call. Changes that
// the watch misses are found by the poller's reads.
func (h *Host) watch(ctx context.Context, prefix string, source *poller, lastRead func() backing.Revision, apply func([]backing.Event)) {
	after := backing.Revision(0)
	for ctx.Err() == nil {
		after = max(after, lastRead())
		if after == 0 || !h.watchesStore() {
			backing.Pause(ctx, roleCheckInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, next, err := h.opts.Ports.Store.Watch(callCtx, prefix, after, watchWait)
		cancel()
		if err != nil {
			after = 0
			if errors.Is(err, backing.ErrCompacted) {
				// The store has compacted these revisions. Continue from the latest
				// listing; a read finds the changes before it.
				after = h.listedRevision.Load()
				source.Trigger()
			}
			backing.Pause(ctx, watchRetryDelay)
			continue
		}
		apply(events)
		after = next
		backing.Pause(ctx, watchPause)
	}
}

// listEndpoints reads the whole endpoint registry, applies it and confirms it.
func (h *Host) listEndpoints(ctx context.Context) error {
	sent := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := h.opts.Ports.Store.List(ctx, h.opts.Ports.Endpoints.Prefix)
	if err != nil {
		return err
	}
	listing := make([]*endpoint.Endpoint, 0, len(items))
	for _, kv := range items {
		if e, ok := h.decodeEndpoint(kv); ok {
			listing = append(listing, e)
		}
	}
	h.endpointsChanged(h.endpoints.Replace(time.Now(), revision, listing))
	h.listedRevision.Store(revision)
	h.applyRead(h.registry.listingEvents(items, revision))
	h.registry.confirm(sent)
	return nil
}

// applyRead applies registry events that this host read itself and triggers an
// exchange to send the new ones to its peers. It leaves out deletions of entries
// that expired during a store outage.
func (h *Host) applyRead(events []backing.Event) {
	events = slices.DeleteFunc(events, h.isMissing)
	if h.registry.applyRead(time.Now(), events) > 0 {
		h.group.TriggerExchange()
	}
}

// isMissing reports whether an event deletes an entry that went missing during a
// store outage and is still retained.
func (h *Host) isMissing(ev backing.Event) bool {
	id, ok := h.opts.Ports.Endpoints.ID(ev.Key)
	return ev.Deleted && ok && h.endpoints.Missing(id)
}

// watchEndpoints applies changes of the endpoint registry as they happen, while this
// host is a store watcher.
func (h *Host) watchEndpoints(ctx context.Context) {
	h.watch(ctx, h.opts.Ports.Endpoints.Prefix, h.endpointPoller, h.listedRevision.Load, func(events []backing.Event) {
		h.applyEndpointEvents(events)
		h.applyRead(events)
	})
}

// applyEndpointEvents applies registry events to the endpoints, one by one and in
// order: an entry may be written and deleted within the events of one watch.
func (h *Host) applyEndpointEvents(events []backing.Event) {
	for _, ev := range events {
		if ev.Deleted {
			if id, ok := h.opts.Ports.Endpoints.ID(ev.Key); ok {
				h.endpointsChanged(h.endpoints.Remove(time.Now(), id, ev.Revision))
			}
			continue
		}
		if e, ok := h.decodeEndpoint(ev.KeyValue); ok {
			h.endpointsChanged(h.endpoints.Put(time.Now(), e))
		}
	}
}

// removeMissingEndpoints removes endpoints whose entries went missing during a store
// outage and were not registered again in time, until ctx is done.
func (h *Host) removeMissingEndpoints(ctx context.Context) {
	for backing.Pause(ctx, roleCheckInterval) {
		h.removeMissing(time.Now())
	}
}

// removeMissing removes the missing endpoints that were not registered again within
// Settings.ReregistrationTimeout, and sends their deletion to the peers.
func (h *Host) removeMissing(now time.Time) {
	change := h.endpoints.RemoveMissing(now)
	h.endpointsChanged(change)
	var events []backing.Event
	for _, e := range change.Removed {
		events = append(events, deletion(h.opts.Ports.Endpoints.Prefix+e.ID, h.listedRevision.Load()))
	}
	h.applyRead(events)
}

// decodeEndpoint decodes an entry. It logs an invalid entry once for each revision
// and returns false.
func (h *Host) decodeEndpoint(kv backing.KeyValue) (*endpoint.Endpoint, bool) {
	e, err := h.opts.Ports.Endpoints.Decode(kv)
	if err == nil {
		return e, true
	}
	if h.firstFailure(kv) {
		h.opts.Log.Warn("endpoint entry skipped", "key", kv.Key, observe.FieldRevision, int64(kv.Revision), observe.FieldError, err)
	}
	return nil, false
}

// firstFailure records an entry that failed to decode and reports whether this is
// the first failure of its revision.
func (h *Host) firstFailure(kv backing.KeyValue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.undecodable[kv.Key] == kv.Revision {
		return false
	}
	if len(h.undecodable) >= maxUndecodable {
		clear(h.undecodable)
	}
	h.undecodable[kv.Key] = kv.Revision
	return true
}

// maxUndecodable bounds the undecodable entries that are recorded so that each is
// logged once.
const maxUndecodable = 256

// endpointStarted paces the requests to an endpoint that has just started or changed its
// stage. What this host finds in its first listing may have run for long; peers tell it of
// those that have not.
func (h *Host) endpointStarted(e *endpoint.Endpoint) {
	if h.listedRevision.Load() != 0 {
		h.tracker.Started(time.Now(), e)
	}
}

// endpointsChanged logs a change of the endpoints and drops the state and the
// connections of those that left.
func (h *Host) endpointsChanged(change endpoint.Change) {
	for _, e := range change.Added {
		h.endpointStarted(e)
		h.opts.Log.Info("endpoint added", observe.FieldEndpoint, e.ID, "address", e.Address, "service", e.Service, "stage", e.Stage.String())
	}
	for _, e := range change.StageChanged {
		h.tracker.StageChanged(e.ID)
		h.endpointStarted(e)
		h.opts.Log.Info("endpoint changed its stage", observe.FieldEndpoint, e.ID, "stage", e.Stage.String())
	}
	for _, e := range change.Removed {
		h.opts.Log.Info("endpoint leaves", observe.FieldEndpoint, e.ID, "draining", e.Draining)
		h.tracker.RemoveEngine(e.ID)
		if !e.Draining && !h.suspects.Crashed(time.Now(), e.Key()) && h.suspects.Watches(e.Key()) {
			go h.confirmCrash(e)
		}
		h.opts.Ports.Connections.CloseIdle(e.Address)
	}
	for _, e := range change.Replaced {
		h.opts.Log.Info("endpoint returned as another incarnation", observe.FieldEndpoint, e.ID, "started_at_ms", e.StartedAtMS)
		h.suspects.Refused(time.Now(), e.Key())
	}
}
