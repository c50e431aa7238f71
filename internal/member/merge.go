package member

import "time"

// merge takes up a record from a peer if it is news, and spreads it on. The
// caller holds mu.
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
	if old == nil && !t.welcome(r, now) {
		return
	}
	if old != nil && r.kind == kindEndpoint && r.state.silent() {
		r.incarnation, r.word = old.incarnation, old.word
	}
	t.put(r, now)
	t.spread(r)
}

// mergeSelf answers what others say of this process. The caller holds mu.
func (t *Table) mergeSelf(r *record, now time.Time) {
	if t.superseded || !newer(r, t.self) {
		return
	}
	replaced := r.incarnation != t.cfg.Incarnation
	if replaced && now.Sub(t.started) >= settled {
		t.superseded = true
		return
	}
	t.stats.Refutations++
	t.announceAgain(r.version, now)
}

// announceAgain spreads the process's own state with a version after seen.
// The caller holds mu.
func (t *Table) announceAgain(seen uint64, now time.Time) {
	next := *t.self
	next.version = seen
	t.author(&next, now)
	t.self = t.records[next.id]
}

// welcome says whether a record about something new is taken up. The caller
// holds mu.
func (t *Table) welcome(r *record, now time.Time) bool {
	switch r.kind {
	case kindMember:
		return !r.state.silent() && t.room(r.kind, maxMembers)
	case kindHost:
		return r.state != Live && t.room(r.kind, maxHosts)
	default:
		return t.wanted(r, now) && t.room(r.kind, maxEndpoints)
	}
}

func (t *Table) room(k kind, bound int) bool {
	if t.counts[k] < bound {
		return true
	}
	t.stats.Refused++
	return false
}

// wanted says whether an endpoint's record is kept: it is configured, or it is
// so new that the configuration may not be here yet. Every table decides by
// the version's time, so that none gets from another what it just forgot. The
// caller holds mu.
func (t *Table) wanted(r *record, now time.Time) bool {
	if _, configured := t.endpoints[r.name]; configured || len(t.endpoints) == 0 {
		return true
	}
	return now.Sub(versionTime(r.version)) < unconfigured
}

// prune forgets what nobody needs. The caller holds mu.
func (t *Table) prune(now time.Time) {
	for _, r := range t.records {
		if t.forgettable(r, now) {
			t.remove(r)
		}
	}
}

func (t *Table) forgettable(r *record, now time.Time) bool {
	switch r.kind {
	case kindMember:
		return r.state == Gone && r != t.self && now.Sub(r.since) >= forget
	case kindHost:
		return r.state == Live && now.Sub(r.since) >= unconfigured ||
			r.state == Gone && now.Sub(r.since) >= 2*forget
	default:
		return !t.wanted(r, now)
	}
}

// suspect marks a silent member or endpoint, with the version that it has, so
// that its own next version refutes it. The caller holds mu.
func (t *Table) suspect(r *record, now time.Time) {
	next := *r
	next.state = Suspect
	t.stats.Suspicions++
	t.put(&next, now)
	t.spread(&next)
}

// promote takes suspects for gone whose time is over. Every table does so by
// itself, so it is no news to spread. The caller holds mu.
func (t *Table) promote(now time.Time) {
	if t.reach.isolated(t.cfg.Period, now) {
		return
	}
	for _, r := range t.suspects {
		if now.Sub(r.since) >= t.cfg.Suspect {
			next := *r
			next.state = Gone
			next.sends = 0
			t.put(&next, now)
		}
	}
}
