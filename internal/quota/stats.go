package quota

// Stats is the size of a limiter's state, for dumps and metrics.
type Stats struct {
	// Buckets are the workspaces' buckets that this host keeps as owner.
	Buckets int
	// Holdings are the workspaces that this host holds tokens of or
	// remembers the outcomes of.
	Holdings int
}

// Stats returns the size of the limiter's state.
func (l *Limiter) Stats() Stats {
	var s Stats
	l.mu.Lock()
	s.Holdings = len(l.holder.workspaces)
	l.mu.Unlock()
	l.ownerMu.Lock()
	s.Buckets = l.owner.Buckets()
	l.ownerMu.Unlock()
	return s
}
