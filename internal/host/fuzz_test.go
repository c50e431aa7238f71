package host

import (
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/placement"
)

// FuzzReceive feeds messages of other hosts with arbitrary contents to a host, as its
// delegate, its member and its home, and as reservations. None may end the process.
func FuzzReceive(f *testing.F) {
	seeds := []*peer.Snapshot{
		{Host: "p", Incarnation: "p-1", Delegate: true, Loads: map[string]placement.Load{"x": {PrefillTokens: -1, KVTokens: 1 << 60}}},
		{Host: "p", ConsumedTokens: map[string]int64{"w": -1 << 63}, WindowTokens: map[string]int64{"w": 1 << 62}, UptimeMillis: -1 << 63},
		{Host: "p", After: peer.UpdatePosition{Dispatches: -1 << 63, Changes: -1 << 63}, AfterOf: "h"},
		{Host: "p", Dispatches: placement.DispatchBatch{First: 1 << 62, Next: -1 << 62, Records: []placement.DispatchRecord{{Engine: "x", Segments: []uint64{1}}}}},
		{Host: "p", Changes: []peer.Change{{Key: "x", Value: []byte("{"), Revision: -1}, {Deleted: true}}},
		{Host: "p", Usage: map[string]map[int64]map[string]int64{"": {-1 << 63: {"": 1 << 62}}}, Walls: map[string]int64{"h": 1 << 62}, WallMillis: -1 << 63},
	}
	for _, s := range seeds {
		buf, err := peer.EncodeSnapshot(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf, "w", int64(5), int64(-1))
		f.Add(buf, "", int64(-1<<63), int64(1<<62))
	}
	f.Fuzz(func(t *testing.T, data []byte, workspace string, tokens, age int64) {
		h := newTestHost(func(kv backing.KeyValue) (*endpoint.Endpoint, error) {
			return &endpoint.Endpoint{ID: kv.Key, Service: "s", Revision: kv.Revision}, nil
		})
		h.catalog.Update(1, catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Workspace{{Name: "w", Rate: 10, Burst: 10}}, nil))
		h.tracker.Begin(time.Now(), &endpoint.Endpoint{ID: "x"}, &placement.Plan{}, &placement.Job{})
		h.grant(&peer.ReserveRequest{Reservations: []peer.Reservation{{Workspace: workspace, Tokens: tokens, RefundAgeMillis: age}, {Workspace: "w", Tokens: tokens, RefundAgeMillis: age}}})
		var s peer.Snapshot
		if peer.DecodeSnapshot(data, &s) != nil {
			return
		}
		for _, relation := range []peer.Relation{peer.FellowDelegate, peer.Member, peer.Home, peer.Stranger} {
			h.receive(&s, relation, true)
		}
		h.receiveAnswer(&s, lease.SystemClock{}.Now())
		h.group.Answer(&s)
		h.peerLeft(s.Host)
	})
}
