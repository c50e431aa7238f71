package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
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

	// mu guards chosen, the candidates for control work as of chosenAt.
	mu       sync.Mutex
	chosen   []string
	chosenAt time.Time
}

// candidatesFor is how long the candidates for control work are kept: they
// are asked for once a piece, and take a walk over all members.
const candidatesFor = 500 * time.Millisecond

// candidates returns the hosts that share control work. The caller does not
// change the slice.
func (d *directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.chosenAt) >= candidatesFor {
		d.chosen = lease.Candidates(d.live(), controlHosts)
		d.chosenAt = time.Now()
	}
	return d.chosen
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

// ownReads is how long after its start a host reads the platform's host list
// itself: its membership table does not know all others yet.
const ownReads = 30 * time.Second

// listedHosts is the platform's host list as membership spreads it: the entry
// hosts take turns in reading it, so that not each reads the whole list.
type listedHosts struct {
	table   *member.Table
	list    backing.HostList
	started time.Time
}

// Hosts implements backing.HostList. A host counts as listed until both the
// list has dropped it and it is silent.
func (l listedHosts) Hosts(ctx context.Context) ([]backing.Host, error) {
	if time.Since(l.started) < ownReads {
		return l.list.Hosts(ctx)
	}
	var hosts []backing.Host
	for _, m := range l.table.Entries(time.Now()) {
		if m.State == member.Gone && m.Listed == member.Gone {
			continue
		}
		state := backing.HostLive
		if m.State == member.Leaving || m.Listed == member.Leaving {
			state = backing.HostLeaving
		}
		hosts = append(hosts, backing.Host{Name: m.Name, Domain: m.Domain, State: state, Address: m.Address})
	}
	return hosts, nil
}
