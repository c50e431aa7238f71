package quota

import "time"

// Holder spends the tokens that owners granted to this host. It is not safe for
// concurrent use.
type Holder struct {
	settings   *Settings
	ownership  [partCount]Ownership
	workspaces map[string]*workspaceState
	// usage covers all workspaces. It is the initial value for workspaces that
	// are new to the host.
	usage usageRatio
	// lastID is the ID of the account that was opened last.
	lastID uint64
}

// workspaceState is the host's state of one workspace.
type workspaceState struct {
	accounts [partCount]*account
	// demand is a decaying sum of the tokens reserved over about the last
	// second.
	demand   float64
	demandAt time.Time
	// usage is the usage ratio of the workspace's reservations.
	usage usageRatio
	// unreachableUntil is the time until which no request is sent to a part's
	// owner, because an exchange failed or the owner answered with an error.
	unreachableUntil [partCount]time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(s *Settings, base, surplus Ownership) *Holder {
	return &Holder{
		settings:   s,
		ownership:  [partCount]Ownership{base, surplus},
		workspaces: make(map[string]*workspaceState),
	}
}

const (
	// demandTimeConstant is the time over which a workspace's demand decays to
	// zero.
	demandTimeConstant = time.Second
	// initialSpendShare is the share of the expected usage that Start reports
	// as spent at once.
	initialSpendShare = 0.7
)

// workspace returns the state of the workspace, creating it if needed, or nil
// if MaxWorkspaces is reached.
func (h *Holder) workspace(workspace string) *workspaceState {
	w := h.workspaces[workspace]
	if w == nil && len(h.workspaces) < h.settings.MaxWorkspaces {
		w = &workspaceState{usage: usageRatio{mean: h.usage.mean}}
		h.workspaces[workspace] = w
	}
	return w
}

// Reserve reserves tokens from the balances, all or none. It returns false if
// the balances do not suffice. Reserved tokens count as still in the bucket
// until Start.
func (h *Holder) Reserve(now time.Time, workspace string, tokens int64) (*Reservation, bool) {
	w := h.workspace(workspace)
	if w == nil || w.balance(now) < tokens {
		return nil, false
	}
	r := &Reservation{workspace: workspace, tokens: tokens}
	first := Base
	if w.accounts[Surplus].balance(now) > w.accounts[Base].balance(now) {
		first = Surplus
	}
	remaining := tokens
	for _, p := range [partCount]Part{first, 1 - first} {
		amount := min(remaining, w.accounts[p].balance(now))
		if amount <= 0 {
			continue
		}
		r.allocations[p] = w.accounts[p].reserve(now, amount)
		remaining -= amount
	}
	w.recordDemand(now, tokens)
	return r, true
}

func (w *workspaceState) balance(now time.Time) int64 {
	return w.accounts[Base].balance(now) + w.accounts[Surplus].balance(now)
}

// recentDemand returns the decayed demand at now, in tokens.
func (w *workspaceState) recentDemand(now time.Time) float64 {
	return w.demand * max(0, 1-float64(now.Sub(w.demandAt))/float64(demandTimeConstant))
}

func (w *workspaceState) recordDemand(now time.Time, tokens int64) {
	w.demand = w.recentDemand(now) + float64(tokens)
	w.demandAt = now
}

// Start counts the tokens as consumed from now on. The minimum that the request
// is expected to use is spent at once; the rest may still be returned. Start
// returns false if the tokens have expired or their account was dropped.
func (h *Holder) Start(now time.Time, r *Reservation) bool {
	w := h.workspaces[r.workspace]
	for p, alloc := range r.allocations {
		if alloc == nil {
			continue
		}
		if w == nil || w.accounts[p] != alloc.account || alloc.account.expired(now) {
			return false
		}
	}
	r.started = true
	for _, alloc := range r.allocations {
		if alloc != nil {
			alloc.start(w.usage.mean * initialSpendShare)
		}
	}
	return true
}

// release returns all tokens allocated to the reservation.
func (h *Holder) release(r *Reservation) {
	for p, alloc := range r.allocations {
		if alloc != nil {
			alloc.settle(0)
		}
		r.allocations[p] = nil
	}
}

func (h *Holder) recordUsage(r *Reservation, used int64) {
	share := float64(used) / float64(max(1, r.tokens))
	h.usage.add(share)
	if w := h.workspaces[r.workspace]; w != nil {
		w.usage.add(share)
	}
}

// Settle returns the tokens that the reservation did not use; used is clamped
// to the reservation's size. A second call has no effect.
func (h *Holder) Settle(r *Reservation, used int64) {
	if r.settled {
		return
	}
	r.settled = true
	used = min(max(0, used), r.tokens)
	if r.started {
		h.recordUsage(r, used)
	}
	remaining := used
	for _, alloc := range r.allocations {
		if alloc != nil {
			remaining -= alloc.amount - alloc.pending
		}
	}
	for _, alloc := range r.allocations {
		if alloc != nil {
			remaining -= alloc.settle(max(0, remaining))
		}
	}
}
