package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
)

// hostNamed is a host that reads entries as endpoints of one service.
func hostNamed() *Host {
	return hostOf(func(kv backing.KeyValue) (*endpoint.Endpoint, error) {
		return &endpoint.Endpoint{ID: kv.Key, Service: "s", Slots: 1, Revision: int64(kv.Revision)}, nil
	})
}

// list is what a host reads that lists the registry at a revision.
func (h *Host) list(revision int64, sent lease.Instant, keys ...string) {
	var items []backing.KeyValue
	var listing []*endpoint.Endpoint
	for _, key := range keys {
		kv := backing.KeyValue{Key: key, Revision: 1}
		items = append(items, kv)
		e, _ := h.decodeEndpoint(kv)
		listing = append(listing, e)
	}
	h.endpoints.Replace(time.Now(), revision, listing)
	h.listed.Store(revision)
	h.tell(h.registry.listing(items, backing.Revision(revision)))
	h.registry.confirm(sent)
}

func (h *Host) ids() (out string) {
	for _, e := range h.endpoints.Service("s") {
		out += e.ID
	}
	return out
}

// ago is an instant of the past.
func ago(d time.Duration) lease.Instant { return lease.SystemClock{}.Now().Add(-d) }

// A peer's read counts from before the exchange in which the peer told of it,
// and only if it found what this host has.
func TestAPeerVouchesForWhatItRead(t *testing.T) {
	is := is.New(t)
	h := hostNamed()
	is.NoErr(h.takeConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
	answer := func(version uint64, age int64) {
		h.vouched(&peer.Snapshot{Host: "p", Sights: peer.Sights{Config: peer.Sight{Version: version, Age: age}}}, ago(100*time.Millisecond))
	}
	answer(4, 10) // the peer is behind
	answer(6, 10) // this host is
	answer(5, -1) // the peer has read nothing
	_, known := h.catalog.Age()
	is.True(!known)
	answer(5, 400)
	age, known := h.catalog.Age()
	is.True(known)
	is.True(age >= 500*time.Millisecond)
	is.True(h.catalog.Fresh())
	// An older word changes nothing, a newer one does.
	answer(5, 3000)
	newer, _ := h.catalog.Age()
	is.True(newer < 3*time.Second)
	answer(5, 1)
	newer, _ = h.catalog.Age()
	is.True(newer < age)
}

// A host that hears of a newer configuration reads it at once.
func TestANewerConfigurationIsRead(t *testing.T) {
	is := is.New(t)
	h := hostNamed()
	is.NoErr(h.takeConfig(backing.KeyValue{Revision: 5, Value: []byte("7")}))
	hear := func(version uint64) {
		h.hear(&peer.Snapshot{Host: "p", Sights: peer.Sights{Config: peer.Sight{Version: version, Age: 1}}}, true)
	}
	hear(5)
	is.Equal(len(h.configs.urge), 0)
	hear(6)
	is.Equal(len(h.configs.urge), 1)
}

// Changes that a peer read are taken, in any order and however often, and the
// same entries are confirmed by the peer's reads.
func TestAPeersChangesOfTheRegistryAreTaken(t *testing.T) {
	is := is.New(t)
	a, b := hostNamed(), hostNamed()
	a.list(10, ago(0), "x", "y")
	b.list(10, ago(time.Second), "x", "y")
	a.list(20, ago(0), "y", "z")
	news, next := a.registry.since(0)
	is.Equal(next, int64(4)) // x, y, z, and that x is gone
	b.hear(&peer.Snapshot{Host: "a", Changes: news[3:]}, false)
	b.hear(&peer.Snapshot{Host: "a", Changes: news[:3]}, false)
	b.hear(&peer.Snapshot{Host: "a", Changes: news}, false)
	is.Equal(b.ids(), a.ids())
	is.Equal(b.ids(), "yz")
	is.Equal(b.registry.view.Sum(), a.registry.view.Sum())
	_, mine := b.registry.since(0)
	is.Equal(mine, int64(2)) // what it heard it does not pass on
	before, _ := b.registry.age()
	b.vouched(&peer.Snapshot{Host: "a", Sights: a.sights()}, ago(0))
	after, _ := b.registry.age()
	is.True(after < before)
	// A peer that has read something else confirms nothing.
	a.list(30, ago(0), "y")
	b.registry.confirmed = ago(time.Minute)
	b.vouched(&peer.Snapshot{Host: "a", Sights: a.sights()}, ago(0))
	after, _ = b.registry.age()
	is.True(after >= time.Minute)
}

// Entries that lapsed in an outage are told to be gone once they are believed to
// be; until then peers that did not notice the outage are in agreement.
func TestLapsedEntriesAreToldOnceTheyAreGone(t *testing.T) {
	is := is.New(t)
	a, b := hostNamed(), hostNamed()
	a.list(10, ago(0), "x", "y")
	b.list(10, ago(0), "x", "y")
	a.endpoints.Failed()
	a.list(20, ago(0), "y")
	a.tell([]backing.Event{removal("x", 15)}) // a watch finds it too
	is.Equal(a.ids(), "xy")
	is.Equal(a.registry.view.Sum(), b.registry.view.Sum())
	a.settle(time.Now())
	_, next := a.registry.since(0)
	is.Equal(next, int64(2))
	a.settle(time.Now().Add(a.o.Settings.Returned))
	is.Equal(a.ids(), "y")
	news, _ := a.registry.since(next)
	b.hear(&peer.Snapshot{Host: "a", Changes: news}, true)
	is.Equal(b.ids(), "y")
	is.Equal(a.registry.view.Sum(), b.registry.view.Sum())
}

// Two of the hosts that hear each other follow the store, the first by name.
func TestTwoHostsFollowTheStore(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c"}
	h := hostNamed()
	h.audible = func() []string { return names }
	is.True(h.follows()) // the others do not
	for _, name := range names[:2] {
		h.hear(&peer.Snapshot{Host: name, Sights: peer.Sights{Follows: true}}, true)
	}
	is.True(!h.follows())
	names = names[1:] // one falls silent
	is.True(h.follows())
	h.listings.lost.Store(true)
	is.True(!h.sights().Follows) // it cannot
}
