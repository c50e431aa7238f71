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

// errUnknownPeer means that the membership table has no address for a peer.
var errUnknownPeer = errors.New("entry host is not known")

// directory resolves the names of entry hosts with the membership table and sends
// messages to them. It is safe for concurrent use.
type directory struct {
	host  string
	table *member.Table
	pool  *rpc.Pool

	// mu guards cachedCandidates and cachedAt.
	mu sync.Mutex
	// cachedCandidates are the candidates for control work as of cachedAt.
	cachedCandidates []string
	cachedAt         time.Time
}

// candidatesTTL is how long the candidates for control work are cached. They are requested
// once per shard, and computing them iterates over all members.
const candidatesTTL = 500 * time.Millisecond

// candidates returns the hosts that share control work. The caller must not modify the
// slice.
func (d *directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.cachedAt) >= candidatesTTL {
		d.cachedCandidates = lease.Candidates(d.live(), controlHostsPerDomain)
		d.cachedAt = time.Now()
	}
	return d.cachedCandidates
}

// peers returns all entry hosts, including this one, except those that are gone.
func (d *directory) peers() []snapshot.Peer {
	var peers []snapshot.Peer
	for _, entry := range d.table.Members(time.Now()) {
		if entry.State != member.Gone {
			peers = append(peers, snapshot.Peer{Name: entry.Name, Domain: entry.Domain, Leaving: entry.State == member.Leaving || entry.Listed == member.Leaving})
		}
	}
	return peers
}

// live returns the entry hosts that may own control work: live and suspect hosts
// that are not leaving according to the host list.
func (d *directory) live() []lease.Host {
	var hosts []lease.Host
	for _, entry := range d.table.Members(time.Now()) {
		if (entry.State == member.Live || entry.State == member.Suspect) && entry.Listed != member.Leaving {
			hosts = append(hosts, lease.Host{Name: entry.Name, Domain: entry.Domain})
		}
	}
	return hosts
}

// Exchange sends a message to the entry host named peer and returns its response.
func (d *directory) Exchange(ctx context.Context, peer string, message *wire.PeerMessage) (*wire.PeerMessage, error) {
	address, ok := d.table.Address(peer)
	if !ok {
		return nil, errors.Wrap(errUnknownPeer, peer)
	}
	return d.pool.Exchange(ctx, address, message)
}

// MemberCount returns the number of entry hosts that are live or suspect in this host's
// membership table and not leaving according to the host list.
func (e *Entry) MemberCount() int { return len(e.directory.live()) }

// directListPeriod is how long after its start a host reads the platform's host list
// directly, because its membership table is still incomplete.
const directListPeriod = 30 * time.Second

// gossipedHostList is the platform's host list as distributed by membership. Entry hosts
// take turns reading the list, so that not every host reads all of it.
type gossipedHostList struct {
	table   *member.Table
	list    backing.HostList
	started time.Time
}

// Hosts implements backing.HostList. A host is included until it is both removed from the
// list and gone from the membership table.
func (l gossipedHostList) Hosts(ctx context.Context) ([]backing.Host, error) {
	if time.Since(l.started) < directListPeriod {
		return l.list.Hosts(ctx)
	}
	var hosts []backing.Host
	for _, entry := range l.table.Members(time.Now()) {
		if entry.State == member.Gone && entry.Listed == member.Gone {
			continue
		}
		state := backing.HostLive
		if entry.State == member.Leaving || entry.Listed == member.Leaving {
			state = backing.HostLeaving
		}
		hosts = append(hosts, backing.Host{Name: entry.Name, Domain: entry.Domain, State: state, Address: entry.Address})
	}
	return hosts, nil
}
