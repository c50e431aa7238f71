package snapshot

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// checkInterval is the time between two checks of the promises.
const checkInterval = 20 * time.Millisecond

// linkDelay is the one-way delay between two hosts, unless a test says otherwise.
const linkDelay = time.Millisecond

// fleet is a set of hosts on one stand-in store, in virtual time.
type fleet struct {
	t     *testing.T
	store *kv.Store
	flaws flaws

	// oldest is the highest age that freshness has seen.
	oldest time.Duration
	// delay is the one-way delay between two hosts.
	delay time.Duration

	mu sync.Mutex
	// hosts are in a fixed order; side splits them in a partition.
	hosts []*node
	side  map[string]int
	// gone holds hosts that the directory does not list, rightly or not.
	gone map[string]bool
	// leaving is a host that the directory shows as leaving; nil for none.
	leaving *node
	// sent counts the bytes and messages that each host sent to others.
	sent     map[string]int
	messages map[string]int
	// accepted are the changes that were answered as accepted.
	accepted   []acceptedChange
	violations []string
}

type acceptedChange struct {
	revision resource.Revision
	at       time.Time
}

// node is one host; its holder is replaced at a restart.
type node struct {
	name, domain string
	holder       *Holder
	stop         context.CancelFunc
	pausedUntil  time.Time
	highest      resource.Revision
}

func newFleet(t *testing.T, hosts, domains int, f flaws) *fleet {
	fl := &fleet{t: t, store: kv.New(kv.Options{}), delay: linkDelay, flaws: f, side: map[string]int{}, gone: map[string]bool{}, sent: map[string]int{}, messages: map[string]int{}}
	for i := range hosts {
		fl.hosts = append(fl.hosts, &node{name: fmt.Sprintf("host-%03d", i), domain: fmt.Sprintf("domain-%02d", i%domains)})
	}
	return fl
}

// start runs all hosts, one after the other, so that their rounds are spread.
func (f *fleet) start() {
	for _, n := range f.hosts {
		f.restart(n)
		time.Sleep(roundInterval / time.Duration(len(f.hosts)))
	}
}

// restart gives the host a new holder, which knows nothing.
func (f *fleet) restart(n *node) {
	if n.stop != nil {
		n.stop()
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	store := &hostStore{Store: f.store.Client(n.name), fleet: f, node: n}
	h := NewHolder(HolderOptions{
		Host: n.name, Domain: n.domain, Log: NewLog(store, nil),
		Peers: &hostPeers{fleet: f, node: n}, Directory: f.directory, Clock: virtualClock(),
	})
	h.flaws = f.flaws
	f.mu.Lock()
	n.holder, n.stop, n.highest = h, cancel, 0
	f.mu.Unlock()
	go h.Run(ctx)
}

// virtualClock keeps the boot clock in step with the test's time.
func virtualClock() Clock {
	begin := time.Now()
	return Clock{Boot: func() time.Duration { return time.Since(begin) }}
}

func (f *fleet) stopAll() {
	for _, n := range f.hosts {
		n.stop()
	}
	time.Sleep(time.Minute) // Pauses and settling end.
}

func (f *fleet) directory() []Peer {
	var list []Peer
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.hosts {
		if !f.gone[n.name] {
			list = append(list, Peer{Name: n.name, Domain: n.domain, Leaving: f.leaving == n})
		}
	}
	return list
}

// split cuts the hosts of one side off from the others.
func (f *fleet) split(side map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.side = side
}

func (f *fleet) unlist(n *node, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[n.name] = gone
}

func (f *fleet) pause(n *node, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

// waitPause blocks as long as the host is stopped. A stopped process sees no
// timeout: it goes on where it was.
func (f *fleet) waitPause(n *node) {
	f.mu.Lock()
	d := time.Until(n.pausedUntil)
	f.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (f *fleet) find(name string) *node {
	i := slices.IndexFunc(f.hosts, func(n *node) bool { return n.name == name })
	return f.hosts[i]
}

// route returns the peer's holder, if it can be reached now.
func (f *fleet) route(from *node, to string) *Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	peer := f.find(to)
	if f.side[from.name] != f.side[to] || time.Now().Before(peer.pausedUntil) {
		return nil
	}
	return peer.holder
}

func (f *fleet) count(from string, m proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[from] += proto.Size(m)
	f.messages[from]++
}

// change makes a change at the host and notes when it was accepted.
func (f *fleet) change(n *node, edit Edit) (Outcome, error) {
	f.mu.Lock()
	h := n.holder
	f.mu.Unlock()
	o, err := h.Change(f.t.Context(), edit)
	f.waitPause(n)
	if err == nil && o.Changed && o.Accepted {
		f.mu.Lock()
		f.accepted = append(f.accepted, acceptedChange{revision: o.Revision, at: time.Now()})
		f.mu.Unlock()
	}
	return o, err
}

// watch checks the promises until the context ends: no host that says Fresh
// lacks a change that was accepted more than FreshFor ago, and none goes back.
func (f *fleet) watch(ctx context.Context) {
	for ctx.Err() == nil {
		f.check(time.Now())
		time.Sleep(checkInterval)
	}
}

// result returns the violations and the number of accepted changes so far.
func (f *fleet) result() (violations []string, accepted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations), len(f.accepted)
}

func (f *fleet) check(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.hosts {
		fresh := n.holder.Fresh(now)
		held := n.holder.Current().Revision()
		if held < n.highest {
			f.violations = append(f.violations, fmt.Sprintf("%s went from %d back to %d", n.name, n.highest, held))
		}
		n.highest = held
		for _, a := range f.accepted {
			if fresh && held < a.revision && now.Sub(a.at) > FreshFor {
				f.violations = append(f.violations, fmt.Sprintf("%s is fresh at %d, %s after %d was accepted", n.name, held, now.Sub(a.at), a.revision))
			}
		}
	}
}

// hostPeers is one host's way to the others.
type hostPeers struct {
	fleet *fleet
	node  *node
}

var errCut = errors.New("peer cannot be reached")

func (p *hostPeers) Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	defer p.fleet.waitPause(p.node)
	p.fleet.count(p.node.name, m)
	time.Sleep(p.fleet.delay)
	h := p.fleet.route(p.node, peer)
	if h == nil {
		<-ctx.Done()
		return nil, errCut
	}
	answer := &wire.PeerMessage{From: peer, Config: h.HandleExchange(proto.Clone(m).(*wire.PeerMessage).GetConfig())}
	p.fleet.count(peer, answer)
	time.Sleep(p.fleet.delay)
	if p.fleet.route(p.node, peer) == nil {
		<-ctx.Done()
		return nil, errCut
	}
	return answer, nil
}

// hostStore is one host's way to the store.
type hostStore struct {
	backing.Store
	fleet *fleet
	node  *node
}

func (s *hostStore) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	defer s.fleet.waitPause(s.node)
	return s.Store.Get(ctx, key)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after backing.Revision, wait time.Duration) ([]backing.Event, backing.Revision, error) {
	defer s.fleet.waitPause(s.node)
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, lease backing.LeaseID) (backing.Revision, error) {
	defer s.fleet.waitPause(s.node)
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}
