package quota

// Stats is the size of a limiter's state, for state dumps and metrics.
type Stats struct {
	// Buckets is the number of workspace buckets that this host has as owner.
	Buckets int
	// Workspaces is the number of workspaces for which this host holds tokens or
	// a usage ratio.
	Workspaces int `json:"Holdings"`
}

// Stats returns the size of the limiter's state.
func (l *Limiter) Stats() Stats {
	var s Stats
	l.mu.Lock()
	s.Workspaces = len(l.holder.workspaces)
	l.mu.Unlock()
	l.ownerMu.Lock()
	s.Buckets = l.owner.Buckets()
	l.ownerMu.Unlock()
	return s
}
