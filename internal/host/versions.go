package host

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/outage"
	"github.com/acacialink/acacialink/internal/peer"
)

// versionReports returns this host's current version reports for its peers.
func (h *Host) versionReports() peer.VersionReports {
	configAge, configKnown := h.catalog.Age()
	endpointsAge, endpointsKnown := h.registry.age()
	version, taken := h.catalog.Taken()
	return peer.VersionReports{
		WatchesStore:    endpointsKnown && !h.endpointPoller.failing.Load() && !h.termination.Stopping() && h.watchesStore(),
		Config:          versionReport(uint64(h.catalog.Revision()), configAge, configKnown && !h.catalog.Behind()), //nolint:gosec // a revision is not negative
		CatalogVersion:  version,
		CatalogRevision: taken,
		Endpoints:       versionReport(h.registry.view.Sum(), endpointsAge, endpointsKnown),
	}
}

// versionReport returns the report of a version confirmed age ago; known is false if
// it was never confirmed.
func versionReport(version uint64, age time.Duration, known bool) peer.VersionReport {
	if !known {
		return peer.VersionReport{Version: version, AgeMillis: -1}
	}
	return peer.VersionReport{Version: version, AgeMillis: (age + time.Millisecond - 1).Milliseconds()}
}

// watchesStore reports whether this host is a store watcher: fewer than storeWatchers
// reachable store watchers precede it by name.
func (h *Host) watchesStore() bool { return h.watchersBefore() < storeWatchers }

// memberWatchers is the number of store watchers that precede a member whose delegate
// is in touch: it confirms for itself what nobody else has confirmed.
const memberWatchers = storeWatchers

// watchersBefore returns the number of reachable store watchers that precede this
// host by name.
func (h *Host) watchersBefore() int {
	state := h.peerState()
	if !state.Delegate && len(state.Reachable) > 0 {
		return memberWatchers
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	watchers, before := 0, 0
	for _, name := range state.Reachable {
		if name >= h.opts.Settings.Name {
			continue
		}
		before++
		if h.peerVersions[name].WatchesStore {
			watchers++
		}
	}
	if watchers == 0 && h.endpointPoller.failing.Load() {
		// Nobody before this host reads the store, and neither does this one: they are the
		// same to the store, and not all of them have to find out when it is back.
		return before
	}
	return watchers
}

// storeRole returns what this host knows of the others' calls to the store.
func (h *Host) storeRole() outage.Role {
	prober, hosts := h.watchesStore(), h.hostCount()
	h.mu.Lock()
	defer h.mu.Unlock()
	return outage.Role{Prober: prober, SeenAt: h.storeSeenAt, Hosts: hosts}
}

// storeSeen records when the store answered a peer, by the peer's version reports. The caller
// holds mu.
func (h *Host) storeSeen(now time.Time, reports peer.VersionReports) {
	for _, r := range []peer.VersionReport{reports.Config, reports.Endpoints} {
		if at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond); r.AgeMillis >= 0 && at.After(h.storeSeenAt) {
			h.storeSeenAt = at
		}
	}
}

// receiveVersionReports records a peer's version reports and triggers a read if the
// peer has a newer configuration. It confirms nothing, because the message may have
// been in flight for any time.
func (h *Host) receiveVersionReports(s *peer.Snapshot) {
	h.mu.Lock()
	h.peerVersions[s.Host] = s.Versions
	h.storeSeen(time.Now(), s.Versions)
	h.mu.Unlock()
	read := backing.Revision(s.Versions.Config.Version) //nolint:gosec // the peer converted it from an int64
	if read > h.catalog.Revision() {
		h.configPoller.Trigger()
	}
	if version := s.Versions.CatalogVersion; h.catalog.Require(version, s.Versions.CatalogRevision) {
		h.opts.Log.Warn("configuration withdrawn", observe.FieldPeer, s.Host, "config_version", version)
		h.configPoller.Trigger()
	}
}

// receiveAnswer handles the answer to an exchange that started at the given instant,
// and confirms the versions that match those of this host. The peer computed the
// ages after that instant, so started minus the reported age is a lower bound of
// the confirmation time.
func (h *Host) receiveAnswer(in *peer.Snapshot, started lease.Instant) {
	h.receiveVersionReports(in)
	if config := in.Versions.Config; config.AgeMillis >= 0 {
		h.catalog.Confirm(backing.Revision(config.Version), started.Add(-time.Duration(config.AgeMillis)*time.Millisecond)) //nolint:gosec // the peer converted it from an int64
	}
	if endpoints := in.Versions.Endpoints; endpoints.AgeMillis >= 0 && endpoints.Version == h.registry.view.Sum() {
		h.registry.confirm(started.Add(-time.Duration(endpoints.AgeMillis) * time.Millisecond))
	}
}

// receiveChanges applies registry changes that a peer sent. They are sent on to members
// only.
func (h *Host) receiveChanges(now time.Time, changes []peer.Change) {
	for _, c := range changes {
		ev := changeEvent(c)
		h.applyEndpointEvents([]backing.Event{ev})
		if !h.isMissing(ev) {
			h.registry.applyReceived(now, c)
		}
	}
}
