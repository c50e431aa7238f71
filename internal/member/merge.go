package member

import "time"

// merge stores a peer's record if it is newer than the local one, and queues it
// for gossip. The caller holds mu.
func (t *Table) merge(r *record, now time.Time) {
	if !wellFormed(r) {
		t.stats.Refused++
		return
	}
	if r.id == t.self.id {
		t.mergeSelf(r, now)
		return
	}
	old := t.records[r.id]
	if old != nil && !newer(r, old) {
		return
	}
	if old == nil && !t.admits(r, now) {
		return
	}
	if old != nil && r.kind == kindEndpoint && r.state.suspectOrGone() {
		r.incarnation, r.info = old.incarnation, old.info
	}
	t.replace(r, now)
	t.enqueue(r)
}

// mergeSelf handles a peer's record about this process. It refutes a newer
// record, unless the record is of another incarnation and this process has run
// for minSupersedeAge: then this process is superseded. The caller holds mu.
func (t *Table) mergeSelf(r *record, now time.Time) {
	if t.superseded || !newer(r, t.self) {
		return
	}
	replaced := r.incarnation != t.cfg.Incarnation
	if replaced && now.Sub(t.started) >= minSupersedeAge {
		t.superseded = true
		return
	}
	t.stats.Refutations++
	t.republishSelf(r.version, now)
}

// republishSelf publishes the process's own state with a version greater than
// seen. The caller holds mu.
func (t *Table) republishSelf(seen uint64, now time.Time) {
	next := *t.self
	next.version = seen
	t.publish(&next, now)
	t.self = t.records[next.id]
}

// admits reports whether a record with an ID that is new to the table is
// stored. The caller holds mu.
func (t *Table) admits(r *record, now time.Time) bool {
	switch r.kind {
	case kindMember:
		return !r.state.suspectOrGone() && t.hasRoom(r.kind, maxMembers)
	case kindHost:
		return r.state != Live && t.hasRoom(r.kind, maxHosts)
	default:
		return t.retainsEndpoint(r, now) && t.hasRoom(r.kind, maxEndpoints)
	}
}

func (t *Table) hasRoom(k kind, limit int) bool {
	if t.counts[k] < limit {
		return true
	}
	t.stats.Refused++
	return false
}

// retainsEndpoint reports whether an endpoint's record is retained: the
// endpoint is configured, or the record is so recent that its configuration may
// not have arrived yet. Every table decides by the version's time, so that a
// peer does not send back a record that this table has just removed. The caller
// holds mu.
func (t *Table) retainsEndpoint(r *record, now time.Time) bool {
	if _, configured := t.endpoints[r.name]; configured || len(t.endpoints) == 0 {
		return true
	}
	return now.Sub(versionTime(r.version)) < unconfiguredRetention
}

// prune removes the records whose retention has expired. The caller holds mu.
func (t *Table) prune(now time.Time) {
	for _, r := range t.records {
		if t.expired(r, now) {
			t.remove(r)
		}
	}
}

func (t *Table) expired(r *record, now time.Time) bool {
	switch r.kind {
	case kindMember:
		return r.state == Gone && r != t.self && now.Sub(r.since) >= goneRetention
	case kindHost:
		return r.state == Live && now.Sub(r.since) >= unconfiguredRetention ||
			r.state == Gone && now.Sub(r.since) >= 2*goneRetention
	default:
		return !t.retainsEndpoint(r, now)
	}
}

// suspect publishes a silent member or endpoint as suspect. It keeps the
// record's version, so that the subject's next own version refutes the
// suspicion. The caller holds mu.
func (t *Table) suspect(r *record, now time.Time) {
	next := *r
	next.state = Suspect
	t.stats.Suspicions++
	t.replace(&next, now)
	t.enqueue(&next)
}

// expireSuspects turns suspects into gone after Config.SuspectTimeout, unless this
// host is isolated. Every table does so on its own, so the change is not
// gossiped. The caller holds mu.
func (t *Table) expireSuspects(now time.Time) {
	if t.connectivity.isolated(t.cfg.Period, now) {
		return
	}
	for _, r := range t.suspects {
		if now.Sub(r.since) >= t.cfg.SuspectTimeout {
			next := *r
			next.state = Gone
			next.sendsLeft = 0
			t.replace(&next, now)
		}
	}
}
