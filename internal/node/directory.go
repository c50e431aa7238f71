package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/platform"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// errUnknownPeer means that a peer's address is not known.
var errUnknownPeer = errors.New("entry host is not in the host list")

// directory knows the entry hosts and their addresses from the platform's
// host list, and calls them.
type directory struct {
	host     string
	list     platform.HostList
	pool     *rpc.Pool
	interval time.Duration

	mu    sync.Mutex
	hosts map[string]platform.Host
}

func newDirectory(host string, list platform.HostList, pool *rpc.Pool, interval time.Duration) *directory {
	return &directory{host: host, list: list, pool: pool, interval: interval, hosts: make(map[string]platform.Host)}
}

// Run reads the host list until ctx ends. A list that cannot be read leaves
// the last one in place.
func (d *directory) Run(ctx context.Context) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *directory) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.interval)
	defer cancel()
	list, err := d.list.Hosts(ctx)
	if err != nil {
		return
	}
	hosts := make(map[string]platform.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	d.mu.Lock()
	d.hosts = hosts
	d.mu.Unlock()
}

// Peers returns the entry hosts of the list.
func (d *directory) Peers() []snapshot.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]snapshot.Peer, 0, len(d.hosts))
	for _, h := range d.hosts {
		peers = append(peers, snapshot.Peer{Name: h.Name, Domain: h.Domain, Leaving: h.State == platform.HostLeaving})
	}
	return peers
}

// live returns the entry hosts that may hold control work.
func (d *directory) live() []lease.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make([]lease.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		if h.State == platform.HostLive {
			hosts = append(hosts, lease.Host{Name: h.Name, Domain: h.Domain})
		}
	}
	return hosts
}

// Exchange sends a message to another entry host by its name.
func (d *directory) Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	d.mu.Lock()
	host, ok := d.hosts[peer]
	d.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(errUnknownPeer, peer)
	}
	return d.pool.Exchange(ctx, host.Address, m)
}
