package snapshot

import (
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// InForceMargin is added to FreshFor before a change counts as in force.
// It allows for clocks that run at different rates.
const InForceMargin = 200 * time.Millisecond

// Limits of the queries that Propagation makes.
const (
	// maxQueriedHosts is the number of live hosts up to which all are asked.
	// Above it only the voters are asked, and a change counts as in force by
	// time alone.
	maxQueriedHosts = 32
	// queryInterval is the minimum time between two rounds of queries.
	queryInterval = 250 * time.Millisecond
	// maxMilestones limits the recorded acceptances, and the recorded installs.
	maxMilestones = 64
)

// acceptanceTracker records when changes were accepted and which hosts have them.
// Replica.mu guards it.
type acceptanceTracker struct {
	acceptances milestones
	// installs records when this host got its views.
	installs milestones
	// lastQuery is the time of the last round of queries.
	lastQuery time.Time
	// revisions maps each host that answered the last queries to its revision.
	revisions map[string]resource.Revision
}

// milestone records that all changes up to a revision had reached a stage at the given
// moment at the latest.
type milestone struct {
	revision resource.Revision
	at       instant
}

// milestones are in ascending order of revision.
type milestones []milestone

// Propagation is the propagation state of a revision.
type Propagation struct {
	// Accepted reports whether a majority of the voters has the revision.
	Accepted bool
	// InForce reports whether every live host, listed or not, has the revision or is
	// no longer fresh.
	InForce bool
	// PendingHosts names the hosts that are not known to have the revision: the
	// voters until it is accepted, and the live hosts if there are at most
	// maxQueriedHosts.
	PendingHosts []string
	// AcceptedAt is the time at which this host learned of the acceptance; zero
	// before.
	AcceptedAt time.Time
}

// recordAcceptance records that the revision has been accepted by now.
func (r *Replica) recordAcceptance(revision resource.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.acceptances.record(milestone{revision: revision, at: r.options.Clock.now()})
}

// record adds a milestone. It ignores revisions that are already covered.
func (m *milestones) record(next milestone) {
	list := *m
	if n := len(list); n > 0 && list[n-1].revision >= next.revision {
		return
	}
	list = append(list, next)
	*m = list[max(0, len(list)-maxMilestones):]
}

// reached returns a moment by which the revision had reached the stage, and false if it
// is not known to have.
func (m milestones) reached(revision resource.Revision) (instant, bool) {
	for _, a := range m {
		if a.revision >= revision {
			return a.at, true
		}
	}
	return instant{}, false
}

// Propagation returns the propagation state of the revision. It queries the other
// hosts at most once per queryInterval, and not at all once the revision is in
// force by time.
func (r *Replica) Propagation(ctx context.Context, revision resource.Revision) Propagation {
	if since, ok := r.inForceByTime(revision); ok {
		return Propagation{Accepted: true, InForce: true, AcceptedAt: since}
	}
	live := r.options.Directory()
	r.queryRevisions(ctx, live)
	r.mu.Lock()
	defer r.mu.Unlock()
	at, accepted := r.tracker.acceptances.reached(revision)
	propagation := Propagation{Accepted: accepted, AcceptedAt: at.at}
	propagation.PendingHosts = r.pendingHosts(live, revision, accepted)
	complete := len(live) <= maxQueriedHosts && len(propagation.PendingHosts) == 0
	propagation.InForce = accepted && complete && r.outlastsUnlisted(revision)
	return propagation
}

// outlastsUnlisted reports whether this host has had the revision for so long that a host
// which is not listed, as one that has just started, is no longer fresh at an older one.
// The caller holds mu.
func (r *Replica) outlastsUnlisted(revision resource.Revision) bool {
	at, ok := r.tracker.installs.reached(revision)
	return revision == 0 || ok && at.age(r.options.Clock.now()) >= FreshFor+InForceMargin
}

// pendingHosts returns the names of the hosts that are not known to have the
// revision: of the voters until it is accepted, and of the live hosts if all of
// them are asked. The caller holds mu.
func (r *Replica) pendingHosts(live []Peer, revision resource.Revision, accepted bool) []string {
	var hosts []string
	if !accepted {
		hosts = r.Current().voters.All()
	}
	if len(live) <= maxQueriedHosts {
		hosts = mergeNames(live, hosts)
	}
	return slices.DeleteFunc(hosts, func(host string) bool {
		return host == r.options.Host || r.tracker.revisions[host] >= revision
	})
}

// inForceByTime reports whether so much time has passed since the acceptance of
// the revision that no host without it can still be fresh. It returns the time
// of the acceptance.
func (r *Replica) inForceByTime(revision resource.Revision) (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.tracker.acceptances.reached(revision)
	return at.at, ok && at.age(r.options.Clock.now()) >= FreshFor+InForceMargin
}

// queryRevisions asks the hosts for their revisions. Only the answers of one
// round, which is shorter than pushWindow, count towards an acceptance.
func (r *Replica) queryRevisions(ctx context.Context, live []Peer) {
	if !r.queryDue() {
		return
	}
	view := r.Current()
	hosts := view.voters.All()
	if len(live) <= maxQueriedHosts {
		hosts = mergeNames(live, hosts)
	}
	part := &wire.ConfigPart{Revision: int64(view.revision), FreshAgeUs: -1, WantAfter: wantNoChanges}
	answers := newQuorumAnswers()
	r.queryHosts(ctx, answers, hosts, part)
	acknowledged := map[string]bool{r.options.Host: true}
	for host, rev := range answers.revisions {
		acknowledged[host] = rev >= view.revision
	}
	if r.isAccepted(view.voters, acknowledged) {
		r.recordAcceptance(view.revision)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.revisions = answers.revisions
}

// queryDue reports whether a round of queries is due, and starts a new interval if
// it is.
func (r *Replica) queryDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.tracker.lastQuery) < queryInterval {
		return false
	}
	r.tracker.lastQuery = now
	return true
}

// mergeNames returns the names of the peers and the given names in name order,
// without duplicates.
func mergeNames(peers []Peer, names []string) []string {
	merged := VoterList{Hosts: names}
	for _, p := range peers {
		merged.Previous = append(merged.Previous, p.Name)
	}
	return merged.All()
}
