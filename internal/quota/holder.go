package quota

import "time"

// Holder spends the tokens that owners granted to this host. It is not safe
// for concurrent use.
type Holder struct {
	settings   *Settings
	ownership  [partCount]Ownership
	workspaces map[string]*holding
	// outcome is over all workspaces, for those that are new to the host.
	outcome outcome
	nextID  uint64
}

// holding is what the host holds of one workspace.
type holding struct {
	accounts [partCount]*account
	// demand is the tokens reserved in about the last second.
	demand   float64
	demandAt time.Time
	// outcome is what its reservations came to.
	outcome outcome
	// failed is until when a part's owner is taken as unreachable.
	failed [partCount]time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(s *Settings, base, surplus Ownership) *Holder {
	return &Holder{
		settings:   s,
		ownership:  [partCount]Ownership{base, surplus},
		workspaces: make(map[string]*holding),
	}
}

const (
	// demandTime is the time constant of a workspace's demand.
	demandTime = time.Second
	// certainShare is the part of the expected outcome that a reservation
	// declares spent at once.
	certainShare = 0.7
)

// holding returns the workspace's holding, or nil when there are too many.
func (h *Holder) holding(workspace string) *holding {
	w := h.workspaces[workspace]
	if w == nil && len(h.workspaces) < h.settings.MaxWorkspaces {
		w = &holding{outcome: outcome{mean: h.outcome.mean}}
		h.workspaces[workspace] = w
	}
	return w
}

// Reserve takes the tokens from the balances, all or none. They count as still
// in the bucket until Start.
func (h *Holder) Reserve(now time.Time, workspace string, tokens int64) (*Reservation, bool) {
	w := h.holding(workspace)
	if w == nil || w.balance(now) < tokens {
		return nil, false
	}
	r := &Reservation{workspace: workspace, tokens: tokens}
	first := Base
	if w.accounts[Surplus].balance(now) > w.accounts[Base].balance(now) {
		first = Surplus
	}
	left := tokens
	for _, p := range [partCount]Part{first, 1 - first} {
		amount := min(left, w.accounts[p].balance(now))
		if amount <= 0 {
			continue
		}
		r.holds[p] = w.accounts[p].reserve(now, amount)
		left -= amount
	}
	w.countDemand(now, tokens)
	return r, true
}

func (w *holding) balance(now time.Time) int64 {
	return w.accounts[Base].balance(now) + w.accounts[Surplus].balance(now)
}

// recent is the demand at now.
func (w *holding) recent(now time.Time) float64 {
	return w.demand * max(0, 1-float64(now.Sub(w.demandAt))/float64(demandTime))
}

func (w *holding) countDemand(now time.Time, tokens int64) {
	w.demand = w.recent(now) + float64(tokens)
	w.demandAt = now
}

// Start says that the tokens are consumed from now on. A part of them, what
// the request will use at least by experience, is spent for good; the rest may
// come back. It returns false when the tokens are lost.
func (h *Holder) Start(now time.Time, r *Reservation) bool {
	w := h.workspaces[r.workspace]
	for p, hold := range r.holds {
		if hold == nil {
			continue
		}
		if w == nil || w.accounts[p] != hold.account || hold.account.expired(now) {
			return false
		}
	}
	r.started = true
	for _, hold := range r.holds {
		if hold != nil {
			hold.start(w.outcome.mean * certainShare)
		}
	}
	return true
}

// drop gives back all that the reservation holds.
func (h *Holder) drop(r *Reservation) {
	for p, hold := range r.holds {
		if hold != nil {
			hold.settle(0)
		}
		r.holds[p] = nil
	}
}

func (h *Holder) countOutcome(r *Reservation, used int64) {
	share := float64(used) / float64(max(1, r.tokens))
	h.outcome.add(share)
	if w := h.workspaces[r.workspace]; w != nil {
		w.outcome.add(share)
	}
}

// Settle gives back what the reservation did not use; used is clipped to the
// reservation. A second settlement has no effect.
func (h *Holder) Settle(r *Reservation, used int64) {
	if r.settled {
		return
	}
	r.settled = true
	used = min(max(0, used), r.tokens)
	if r.started {
		h.countOutcome(r, used)
	}
	left := used
	for _, hold := range r.holds {
		if hold != nil {
			left -= hold.amount - hold.pending
		}
	}
	for _, hold := range r.holds {
		if hold != nil {
			left -= hold.settle(max(0, left))
		}
	}
}
