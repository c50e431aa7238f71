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

// invariantCheckInterval is the time between two checks of the invariants.
const invariantCheckInterval = 20 * time.Millisecond

// linkDelay is the default one-way delay between two hosts.
const linkDelay = time.Millisecond

// fleet is a set of hosts that share one fake store, in virtual time.
type fleet struct {
	t      *testing.T
	store  *kv.Store
	faults injectedFaults

	// maxAge is the highest age that sampleFreshness observed.
	maxAge time.Duration
	// delay is the one-way delay between two hosts.
	delay time.Duration

	mu sync.Mutex
	// hosts are in a fixed order.
	hosts []*testHost
	// side maps each host to its side of the network partition.
	side map[string]int
	// unlisted contains the hosts missing from the directory, whether they run or
	// not.
	unlisted map[string]bool
	// leaving is the host that the directory lists as leaving; nil for none.
	leaving *testHost
	// sentBytes counts the bytes that each host sent to others.
	sentBytes map[string]int
	// sentMessages counts the messages that each host sent to others.
	sentMessages map[string]int
	// accepted are the changes that were reported as accepted.
	accepted   []acceptedChange
	violations []string
}

type acceptedChange struct {
	revision resource.Revision
	at       time.Time
}

// testHost is one host. A restart replaces its replica.
type testHost struct {
	name, domain string
	replica      *Replica
	stop         context.CancelFunc
	pausedUntil  time.Time
	// pauseInQuery is the length of a pause that begins once the answer to the
	// host's next query is in flight; 0 for none.
	pauseInQuery time.Duration
	// highestRevision is the highest revision that checkInvariants observed
	// since the last restart.
	highestRevision resource.Revision
}

func newFleet(t *testing.T, hosts, domains int, faults injectedFaults) *fleet {
	f := &fleet{t: t, store: kv.New(kv.Options{}), delay: linkDelay, faults: faults, side: map[string]int{}, unlisted: map[string]bool{}, sentBytes: map[string]int{}, sentMessages: map[string]int{}}
	for i := range hosts {
		f.hosts = append(f.hosts, &testHost{name: fmt.Sprintf("host-%03d", i), domain: fmt.Sprintf("domain-%02d", i%domains)})
	}
	return f
}

// start starts all hosts at equal intervals within one round interval, so that
// their rounds do not coincide.
func (f *fleet) start() {
	for _, host := range f.hosts {
		f.restart(host)
		time.Sleep(roundInterval / time.Duration(len(f.hosts)))
	}
}

// restart replaces the host's replica by a new one with the empty view.
func (f *fleet) restart(host *testHost) {
	if host.stop != nil {
		host.stop()
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	store := &hostStore{Store: f.store.Client(host.name), fleet: f, host: host}
	r := NewReplica(ReplicaOptions{
		Host: host.name, Domain: host.domain, Log: NewLog(store, nil),
		Peers: &hostPeers{fleet: f, host: host}, Directory: f.directory, Clock: virtualClock(),
	})
	r.faults = f.faults
	f.mu.Lock()
	host.replica, host.stop, host.highestRevision = r, cancel, 0
	f.mu.Unlock()
	go r.Run(ctx)
}

// virtualClock returns a clock whose boot clock follows the virtual time.
func virtualClock() Clock {
	start := time.Now()
	return Clock{Boot: func() time.Duration { return time.Since(start) }}
}

func (f *fleet) stopAll() {
	for _, host := range f.hosts {
		host.stop()
	}
	time.Sleep(time.Minute) // Lets pauses and pending read-backs finish.
}

func (f *fleet) directory() []Peer {
	var list []Peer
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range f.hosts {
		if !f.unlisted[host.name] {
			list = append(list, Peer{Name: host.name, Domain: host.domain, Leaving: f.leaving == host})
		}
	}
	return list
}

// partition disconnects hosts on different sides from each other; nil reconnects
// all.
func (f *fleet) partition(side map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.side = side
}

func (f *fleet) setUnlisted(host *testHost, unlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[host.name] = unlisted
}

func (f *fleet) pause(host *testHost, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host.pausedUntil = time.Now().Add(d)
}

// pauseInQuery pauses the host for d once the answer to its next query has been
// computed and before it arrives.
func (f *fleet) pauseInQuery(host *testHost, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host.pauseInQuery = d
}

// answerInFlight begins the pause that pauseInQuery requested, if any.
func (f *fleet) answerInFlight(host *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host.pauseInQuery > 0 {
		host.pausedUntil = time.Now().Add(host.pauseInQuery)
		host.pauseInQuery = 0
	}
}

// waitPause blocks while the host is paused. A paused process does not observe
// timeouts; it continues where it was stopped.
func (f *fleet) waitPause(host *testHost) {
	f.mu.Lock()
	d := time.Until(host.pausedUntil)
	f.mu.Unlock()
	if d <= 0 {
		return
	}
	time.Sleep(d)
	// What a host that continues does first may be corrected by its next answer
	// before the next check of watchInvariants.
	time.AfterFunc(time.Nanosecond, func() { f.checkInvariants(time.Now()) })
}

func (f *fleet) hostNamed(name string) *testHost {
	i := slices.IndexFunc(f.hosts, func(host *testHost) bool { return host.name == name })
	return f.hosts[i]
}

// reachableReplica returns the peer's replica, or nil if the peer cannot be
// reached.
func (f *fleet) reachableReplica(from *testHost, to string) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	peer := f.hostNamed(to)
	if f.side[from.name] != f.side[to] || time.Now().Before(peer.pausedUntil) {
		return nil
	}
	return peer.replica
}

func (f *fleet) countMessage(from string, m proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentBytes[from] += proto.Size(m)
	f.sentMessages[from]++
}

// change makes a change at the host and records the time of its acceptance.
func (f *fleet) change(host *testHost, edit Edit) (Outcome, error) {
	f.mu.Lock()
	r := host.replica
	f.mu.Unlock()
	outcome, err := r.Change(f.t.Context(), edit)
	f.waitPause(host)
	if err == nil && outcome.Changed && outcome.Accepted {
		f.mu.Lock()
		f.accepted = append(f.accepted, acceptedChange{revision: outcome.Revision, at: time.Now()})
		f.mu.Unlock()
	}
	return outcome, err
}

// watchInvariants checks the invariants until ctx ends: a fresh host has every
// change that was accepted more than FreshFor ago, and the revision of a host
// never decreases.
func (f *fleet) watchInvariants(ctx context.Context) {
	for ctx.Err() == nil {
		f.checkInvariants(time.Now())
		time.Sleep(invariantCheckInterval)
	}
}

// result returns the violations and the number of accepted changes so far.
func (f *fleet) result() (violations []string, accepted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations), len(f.accepted)
}

func (f *fleet) checkInvariants(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range f.hosts {
		fresh := host.replica.Fresh(now)
		revision := host.replica.Current().Revision()
		if revision < host.highestRevision {
			f.violations = append(f.violations, fmt.Sprintf("revision of %s decreased from %d to %d", host.name, host.highestRevision, revision))
		}
		host.highestRevision = revision
		for _, change := range f.accepted {
			if fresh && revision < change.revision && now.Sub(change.at) > FreshFor {
				f.violations = append(f.violations, fmt.Sprintf("%s is fresh at %d, %s after %d was accepted", host.name, revision, now.Sub(change.at), change.revision))
			}
		}
	}
}

// hostPeers is the PeerClient of one host.
type hostPeers struct {
	fleet *fleet
	host  *testHost
}

var errUnreachable = errors.New("peer cannot be reached")

func (p *hostPeers) Exchange(ctx context.Context, peer string, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	defer p.fleet.waitPause(p.host)
	p.fleet.countMessage(p.host.name, m)
	time.Sleep(p.fleet.delay)
	r := p.fleet.reachableReplica(p.host, peer)
	if r == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	answer := &wire.PeerMessage{From: peer, Config: r.HandleExchange(proto.Clone(m).(*wire.PeerMessage).GetConfig())}
	p.fleet.countMessage(peer, answer)
	p.fleet.answerInFlight(p.host)
	time.Sleep(p.fleet.delay)
	if p.fleet.reachableReplica(p.host, peer) == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return answer, nil
}

// hostStore is the store client of one host.
type hostStore struct {
	backing.Store
	fleet *fleet
	host  *testHost
}

func (s *hostStore) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	defer s.fleet.waitPause(s.host)
	time.Sleep(s.fleet.delay)
	return s.Store.Get(ctx, key)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after backing.Revision, wait time.Duration) ([]backing.Event, backing.Revision, error) {
	defer s.fleet.waitPause(s.host)
	time.Sleep(s.fleet.delay)
	events, next, err := s.Store.Watch(ctx, prefix, after, wait)
	s.fleet.answerInFlight(s.host)
	return events, next, err
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, lease backing.LeaseID) (backing.Revision, error) {
	defer s.fleet.waitPause(s.host)
	time.Sleep(s.fleet.delay)
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}
