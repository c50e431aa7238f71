package snapshot

import (
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// InForceMargin is what the bound of InForce adds to FreshFor for clocks that
// run at different rates.
const InForceMargin = 200 * time.Millisecond

// Bounds of the questions that a status asks.
const (
	// maxAskedHosts is the number of live hosts up to which each is asked;
	// above it only the voters are, and the time bound tells the rest.
	maxAskedHosts = 32
	// askInterval is the least time between two rounds of questions.
	askInterval = 250 * time.Millisecond
	// maxAcceptances bounds the acceptances remembered.
	maxAcceptances = 64
)

// tracker remembers when changes were accepted and who holds them. The
// holder's lock guards it.
type tracker struct {
	acceptances []acceptance
	asked       time.Time
	held        map[string]resource.Revision
}

// acceptance says that everything up to a revision was accepted by a moment.
type acceptance struct {
	revision resource.Revision
	at       instant
}

// Spread says how far a revision has come.
type Spread struct {
	// Accepted is true when a majority of the voters holds the revision.
	Accepted bool
	// InForce is true when every live host holds the revision or has lost its
	// freshness.
	InForce bool
	// Waiting names live hosts, and before the acceptance voters, that have
	// not confirmed the revision.
	Waiting []string
	// Since is when this host learnt of the acceptance; zero before.
	Since time.Time
}

func (h *Holder) noteAccepted(revision resource.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.note(acceptance{revision: revision, at: h.o.Clock.now()})
}

func (t *tracker) note(a acceptance) {
	if n := len(t.acceptances); n > 0 && t.acceptances[n-1].revision >= a.revision {
		return
	}
	t.acceptances = append(t.acceptances, a)
	if extra := len(t.acceptances) - maxAcceptances; extra > 0 {
		t.acceptances = t.acceptances[extra:]
	}
}

// acceptedAt returns when the revision was accepted at the latest.
func (t *tracker) acceptedAt(revision resource.Revision) (instant, bool) {
	for _, a := range t.acceptances {
		if a.revision >= revision {
			return a.at, true
		}
	}
	return instant{}, false
}

// Spread says how far the revision has come. It asks the other hosts at most
// once each askInterval, and not at all once the revision is in force by time.
func (h *Holder) Spread(ctx context.Context, revision resource.Revision) Spread {
	if since, ok := h.inForceByTime(revision); ok {
		return Spread{Accepted: true, InForce: true, Since: since}
	}
	live := h.o.Directory()
	h.askHosts(ctx, live)
	h.mu.Lock()
	defer h.mu.Unlock()
	at, accepted := h.tracker.acceptedAt(revision)
	s := Spread{Accepted: accepted, Since: at.at}
	s.Waiting = h.waiting(live, revision, accepted)
	s.InForce = accepted && len(live) <= maxAskedHosts && len(s.Waiting) == 0
	return s
}

// waiting names the hosts that are not known to hold the revision: the voters
// until it is accepted, and the live hosts where each is asked. Called with mu
// held.
func (h *Holder) waiting(live []Peer, revision resource.Revision, accepted bool) []string {
	var hosts []string
	if !accepted {
		hosts = h.Current().voters.All()
	}
	if len(live) <= maxAskedHosts {
		hosts = names(live, hosts)
	}
	return slices.DeleteFunc(hosts, func(host string) bool {
		return host == h.o.Host || h.tracker.held[host] >= revision
	})
}

// inForceByTime is true when every host that lacks the revision has lost its
// freshness since it was accepted.
func (h *Holder) inForceByTime(revision resource.Revision) (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.tracker.acceptedAt(revision)
	return at.at, ok && at.age(h.o.Clock.now()) >= FreshFor+InForceMargin
}

// askHosts asks the hosts what they hold. An acceptance counts only answers
// of one round, which is shorter than pushWindow.
func (h *Holder) askHosts(ctx context.Context, live []Peer) {
	if !h.askDue() {
		return
	}
	v := h.Current()
	hosts := v.voters.All()
	if len(live) <= maxAskedHosts {
		hosts = names(live, hosts)
	}
	part := &wire.ConfigPart{Revision: int64(v.revision), FreshAgeUs: -1, WantAfter: wantNothing}
	b := newBallot()
	h.ask(ctx, b, hosts, part)
	held := map[string]bool{h.o.Host: true}
	for host, r := range b.held {
		held[host] = r >= v.revision
	}
	if h.accepts(v.voters, held) {
		h.noteAccepted(v.revision)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.held = b.held
}

func (h *Holder) askDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if now.Sub(h.tracker.asked) < askInterval {
		return false
	}
	h.tracker.asked = now
	return true
}

// names returns the names of the peers and the others, each once.
func names(peers []Peer, others []string) []string {
	l := VoterList{Hosts: others}
	for _, p := range peers {
		l.Previous = append(l.Previous, p.Name)
	}
	return l.All()
}
