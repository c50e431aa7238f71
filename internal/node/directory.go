package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/member"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// errUnknownPeer means that a peer's address is not known.
var errUnknownPeer = errors.New("entry host is not known")

// directory knows the entry hosts and their addresses from the membership
// table, and calls them by name.
type directory struct {
	host  string
	table *member.Table
	pool  *rpc.Pool
}

// peers returns the entry hosts that are not gone, this one included.
func (d *directory) peers() []snapshot.Peer {
	var peers []snapshot.Peer
	for _, m := range d.table.Entries(time.Now()) {
		if m.State != member.Gone {
			peers = append(peers, snapshot.Peer{Name: m.Name, Domain: m.Domain, Leaving: m.State == member.Leaving || m.Listed == member.Leaving})
		}
	}
	return peers
}

// live returns the entry hosts that may hold control work.
func (d *directory) live() []lease.Host {
	var hosts []lease.Host
	for _, m := range d.table.Entries(time.Now()) {
		if (m.State == member.Live || m.State == member.Suspect) && m.Listed != member.Leaving {
			hosts = append(hosts, lease.Host{Name: m.Name, Domain: m.Domain})
		}
	}
	return hosts
}

// Exchange sends a message to another entry host by its name.
func (d *directory) Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	address, ok := d.table.Address(peer)
	if !ok {
		return nil, errors.Wrap(errUnknownPeer, peer)
	}
	return d.pool.Exchange(ctx, address, m)
}

// MemberCount is the number of entry hosts that this one takes for live.
func (e *Entry) MemberCount() int { return len(e.directory.live()) }
