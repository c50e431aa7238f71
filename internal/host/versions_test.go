package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/termination"
)

// newEndpointHost returns a host that decodes every entry as an endpoint of the same
// service.
func newEndpointHost() *Host {
	return newTestHost(func(kv backing.KeyValue) (*endpoint.Endpoint, error) {
		return &endpoint.Endpoint{ID: kv.Key, Service: "s", Slots: 1, Revision: kv.Revision}, nil
	})
}

// applyListing applies a listing of the registry with the given keys at a revision, as
// listEndpoints does.
func (h *Host) applyListing(revision backing.Revision, sent lease.Instant, keys ...string) {
	var items []backing.KeyValue
	for _, key := range keys {
		items = append(items, backing.KeyValue{Key: key, Revision: 1})
	}
	h.applyItems(items, revision)
	h.registry.confirm(sent)
}

// applyItems applies a listing without confirming it.
func (h *Host) applyItems(items []backing.KeyValue, revision backing.Revision) {
	var listing []*endpoint.Endpoint
	for _, kv := range items {
		e, _ := h.decodeEndpoint(kv)
		listing = append(listing, e)
	}
	h.endpoints.Replace(time.Now(), revision, listing)
	h.listedRevision.Store(revision)
	h.applyRead(h.registry.listingEvents(items, revision))
}

// endpointIDs returns the concatenated IDs of the service's endpoints.
func (h *Host) endpointIDs() (out string) {
	for _, e := range h.endpoints.Service("s") {
		out += e.ID
	}
	return out
}

// ago returns the instant d before now.
func ago(d time.Duration) lease.Instant { return lease.SystemClock{}.Now().Add(-d) }

// A peer's read confirms this host's configuration only if both have the same version.
// Its age is counted back from the start of the exchange.
func TestAnswerConfirmsSameConfiguration(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	is.NoErr(h.applyConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
	answer := func(version uint64, age int64) {
		h.receiveAnswer(&peer.Snapshot{Host: "p", Versions: peer.VersionReports{Config: peer.VersionReport{Version: version, AgeMillis: age}}}, ago(100*time.Millisecond))
	}
	answer(4, 10) // the peer has an older version
	answer(6, 10) // the peer has a newer version
	answer(5, -1) // the peer's version is unconfirmed
	_, known := h.catalog.Age()
	is.True(!known)
	answer(5, 400)
	age, known := h.catalog.Age()
	is.True(known)
	is.True(age >= 500*time.Millisecond)
	is.True(h.catalog.Fresh())
	// An older confirmation changes nothing; a newer one is used.
	answer(5, 3000)
	newer, _ := h.catalog.Age()
	is.True(newer < 3*time.Second)
	answer(5, 1)
	newer, _ = h.catalog.Age()
	is.True(newer < age)
}

// A report of a newer configuration triggers a read.
func TestNewerConfigurationReportTriggersRead(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	is.NoErr(h.applyConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
	receive := func(version uint64) {
		h.receive(&peer.Snapshot{Host: "p", Versions: peer.VersionReports{Config: peer.VersionReport{Version: version, AgeMillis: 1}}}, peer.FellowDelegate, true)
	}
	receive(5)
	is.Equal(len(h.configPoller.trigger), 0)
	receive(6)
	is.Equal(len(h.configPoller.trigger), 1)
}

// Registry changes that a peer read are applied in any order and with repeats, are not
// sent on, and the peer's reads then confirm the same entries.
func TestReceiveAppliesRegistryChangesOfPeers(t *testing.T) {
	is := is.New(t)
	a, b := newEndpointHost(), newEndpointHost()
	a.applyListing(10, ago(0), "x", "y")
	b.applyListing(10, ago(time.Second), "x", "y")
	a.applyListing(20, ago(0), "y", "z")
	changes, next := a.registry.changesSince(0)
	is.Equal(next, int64(4)) // x, y, z and the deletion of x
	b.receive(&peer.Snapshot{Host: "a", Changes: changes[3:]}, peer.FellowDelegate, false)
	b.receive(&peer.Snapshot{Host: "a", Changes: changes[:3]}, peer.FellowDelegate, false)
	b.receive(&peer.Snapshot{Host: "a", Changes: changes}, peer.FellowDelegate, false)
	is.Equal(b.endpointIDs(), a.endpointIDs())
	is.Equal(b.endpointIDs(), "yz")
	is.Equal(b.registry.view.Sum(), a.registry.view.Sum())
	_, own := b.registry.changesSince(0)
	is.Equal(own, int64(2)) // received changes are not sent on
	before, _ := b.registry.age()
	b.receiveAnswer(&peer.Snapshot{Host: "a", Versions: a.versionReports()}, ago(0))
	after, _ := b.registry.age()
	is.True(after < before)
	// A peer with different entries confirms nothing.
	a.applyListing(30, ago(0), "y")
	b.registry.confirmed = ago(time.Minute)
	b.receiveAnswer(&peer.Snapshot{Host: "a", Versions: a.versionReports()}, ago(0))
	after, _ = b.registry.age()
	is.True(after >= time.Minute)
}

// The deletion of entries that expired during a store outage is sent to peers only once
// the endpoints are removed. Until then the checksums match those of peers that were
// not affected by the outage.
func TestMissingEntriesAreSentAsDeletedOnceRemoved(t *testing.T) {
	is := is.New(t)
	a, b := newEndpointHost(), newEndpointHost()
	a.applyListing(10, ago(0), "x", "y")
	b.applyListing(10, ago(0), "x", "y")
	a.endpoints.RegistryFailed()
	a.applyListing(20, ago(0), "y")
	a.applyRead([]backing.Event{deletion("x", 15)}) // a watch reports the deletion as well
	is.Equal(a.endpointIDs(), "xy")
	is.Equal(a.registry.view.Sum(), b.registry.view.Sum())
	a.removeMissing(time.Now())
	_, next := a.registry.changesSince(0)
	is.Equal(next, int64(2))
	a.removeMissing(time.Now().Add(a.opts.Settings.ReregistrationTimeout))
	is.Equal(a.endpointIDs(), "y")
	changes, _ := a.registry.changesSince(next)
	b.receive(&peer.Snapshot{Host: "a", Changes: changes}, peer.FellowDelegate, true)
	is.Equal(b.endpointIDs(), "y")
	is.Equal(a.registry.view.Sum(), b.registry.view.Sum())
}

// Of the hosts that reach each other, the first two by name watch the store.
func TestFirstTwoReachableHostsWatchStore(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c"}
	h := newEndpointHost()
	h.peerState = func() peer.State { return peer.State{Delegate: true, Reachable: names} }
	is.True(h.watchesStore()) // no other host watches the store
	for _, name := range names[:2] {
		h.receive(&peer.Snapshot{Host: name, Versions: peer.VersionReports{WatchesStore: true}}, peer.FellowDelegate, true)
	}
	is.True(!h.watchesStore())
	names = names[1:] // one watcher becomes unreachable
	is.True(h.watchesStore())
	h.endpointPoller.failing.Store(true)
	is.True(!h.versionReports().WatchesStore) // its reads fail
}

// Other hosts count on a watcher, so one whose reads fail or that stops is none.
func TestFailingOrStoppingHostWatchesNoStore(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	is.True(!h.versionReports().WatchesStore) // it has read nothing yet
	h.applyListing(10, ago(0), "x")
	is.True(h.versionReports().WatchesStore)
	h.endpointPoller.failing.Store(true)
	is.True(!h.versionReports().WatchesStore)
	h.endpointPoller.failing.Store(false)
	h.termination.Begin(termination.NewPlan(time.Now(), 8*time.Second))
	is.True(!h.versionReports().WatchesStore)
}

// Guards against a registry that a peer read long ago and that counts as read now.
func TestAnswerConfirmsEndpointsAsOfThePeersRead(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	h.applyListing(10, ago(time.Hour), "x")
	before, _ := h.registry.age()
	report := peer.VersionReport{Version: h.registry.view.Sum(), AgeMillis: 5000}
	h.receiveAnswer(&peer.Snapshot{Host: "p", Versions: peer.VersionReports{Endpoints: report}}, ago(100*time.Millisecond))
	age, known := h.registry.age()
	is.True(known)
	is.True(age >= 5100*time.Millisecond)
	is.True(age < before)
}
