package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/peer"
)

func inEra(t *testing.T, era, number int64) backing.Revision {
	t.Helper()
	r, err := backing.NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// carried returns a snapshot as a peer receives it.
func carried(t *testing.T, s *peer.Snapshot) *peer.Snapshot {
	t.Helper()
	is := is.New(t)
	text, err := peer.EncodeSnapshot(s)
	is.NoErr(err)
	var out peer.Snapshot
	is.NoErr(peer.DecodeSnapshot(text, &out))
	return &out
}

// Guards against a host that starts from the copy of a restored store while its peers know a
// newer configuration.
func TestStartingHostTakesNoConfigurationThatPeersKnowToBeOld(t *testing.T) {
	is := is.New(t)
	old, starting := newEndpointHost(), newEndpointHost()
	is.NoErr(old.applyConfig(backing.KeyValue{Revision: inEra(t, 1, 90), Value: []byte("13")}))
	is.NoErr(starting.applyConfig(backing.KeyValue{Revision: inEra(t, 2, 58), Value: []byte("11")}))
	starting.receiveVersionReports(carried(t, &peer.Snapshot{Host: "old", Versions: old.versionReports()}))
	is.True(starting.catalog.Current() == nil)
	is.NoErr(old.applyConfig(backing.KeyValue{Revision: inEra(t, 2, 58), Value: []byte("11")}))
	is.Equal(old.catalog.Current().Version, int64(13))
	is.True(old.versionReports().Config.AgeMillis < 0) // confirms nobody's
	for _, h := range []*Host{old, starting} {
		is.NoErr(h.applyConfig(backing.KeyValue{Revision: inEra(t, 2, 70), Value: []byte("13")}))
		is.Equal(h.catalog.Current().Version, int64(13))
	}
}

// Guards against endpoints that are dropped at once because the copy lacks their entries, and
// against entries of the new era that count as older.
func TestEndpointsOutliveRestorationOfStore(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	listing := func(era, number int64, keys ...string) {
		var items []backing.KeyValue
		for _, key := range keys {
			items = append(items, backing.KeyValue{Key: key, Revision: inEra(t, era, number)})
		}
		h.applyItems(items, inEra(t, era, number))
	}
	listing(1, 90, "a", "b")
	h.eraChanged(1, 2)
	listing(2, 58, "a")
	is.Equal(h.endpointIDs(), "ab")
	listing(2, 59, "a", "b", "c")
	is.Equal(h.endpointIDs(), "abc")
	h.removeMissing(time.Now().Add(time.Minute))
	is.Equal(h.endpointIDs(), "abc")
	listing(2, 60, "b", "c")
	h.removeMissing(time.Now().Add(time.Minute))
	is.Equal(h.endpointIDs(), "bc")
}
