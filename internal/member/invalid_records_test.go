package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// memberMessage returns a message with one member's record.
func memberMessage(t *Table, name string) *wire.MemberPart {
	p := &wire.MemberPart{}
	t.records[recordID(kindMember, name)].appendTo(p)
	return p
}

// TestHandleExchangeRejectsInvalidRecords sends records that exceed each limit,
// and more members than the table holds.
func TestHandleExchangeRejectsInvalidRecords(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 1, 1, 1)
	table := c.nodes[0].table
	long := strings.Repeat("x", maxTextBytes+1)
	table.HandleExchange("entry-9", &wire.MemberPart{
		Members: []*wire.MemberState{
			{Name: "", Address: "10.0.0.1:1"},
			{Name: long, Address: "10.0.0.1:1"},
			{Name: "entry-9", Address: "entry-9.example:7000"},
			{Name: "entry-8", Address: "10.0.0.1:1", State: 77},
			{Name: "entry-7", Address: "10.0.0.1:1", State: uint32(Gone)},
		},
		Endpoints: []*wire.EndpointState{{Name: "engine-0", Agent: &wire.AgentState{Role: long}}, nil},
		Hosts:     []*wire.HostState{{Name: "h", State: 9}},
		Buckets:   make([]uint32, 7),
		Want:      []uint64{1, 2, 3},
	}, c.now)
	is.Equal(len(table.records), 1)
	var flood wire.MemberPart
	for i := range 2 * maxMembers {
		flood.Members = append(flood.Members, &wire.MemberState{Name: fmt.Sprint("m", i), Address: "10.0.0.1:1", Version: 1})
	}
	for range 3 {
		table.HandleExchange("entry-9", &flood, c.now)
	}
	is.Equal(table.counts[kindMember], maxMembers)
	answer := table.HandleExchange("entry-9", &wire.MemberPart{}, c.now)
	is.True(proto.Size(answer) < 2*deltaBytes)
}

// TestPruneRemovesUnconfiguredEndpoint removes an endpoint from the
// configuration and checks that a resent old record does not restore it.
func TestPruneRemovesUnconfiguredEndpoint(t *testing.T) {
	is := is.New(t)
	c := newCluster(4, 2, 3, 2)
	c.runUntil(t, c.endpointIs("engine-2", Live))
	old := &wire.MemberPart{}
	c.nodes[0].table.records[recordID(kindEndpoint, "engine-2")].appendTo(old)
	for _, nd := range c.nodes {
		nd.table.SetEndpoints([]EndpointRef{{Name: "engine-0"}, {Name: "engine-1"}})
	}
	c.runFor(unconfiguredRetention + time.Minute)
	for _, nd := range c.nodes {
		nd.table.HandleExchange("entry-9", old, c.now)
		_, known := nd.table.Endpoint("engine-2", c.now)
		is.True(!known)
	}
}
