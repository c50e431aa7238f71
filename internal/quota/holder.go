package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Holder spends the tokens that owners granted to this host. It is not safe
// for concurrent use.
type Holder struct {
	settings   *Settings
	ownership  [partCount]Ownership
	workspaces map[string]*holding
	nextID     uint64
}

// holding is what the host holds of one workspace.
type holding struct {
	accounts [partCount]*account
	// demand is the tokens reserved in about the last second.
	demand   float64
	demandAt time.Time
	// outcome is the mean share of a reservation that is really used.
	outcome float64
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
	// outcomeStep is the weight of the latest outcome.
	outcomeStep = 0.1
	// certainShare is the part of the expected outcome that a reservation
	// declares spent at once.
	certainShare = 0.5
	// failedTime is how long an owner that failed to answer is left alone.
	failedTime = 500 * time.Millisecond
)

// holding returns the workspace's holding, or nil when there are too many.
func (h *Holder) holding(workspace string) *holding {
	w := h.workspaces[workspace]
	if w == nil && len(h.workspaces) < h.settings.MaxWorkspaces {
		w = &holding{}
		h.workspaces[workspace] = w
	}
	return w
}

// Reserve takes the tokens from the balances, all or none.
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
		certain := int64(float64(amount) * w.outcome * certainShare)
		r.holds[p] = w.accounts[p].reserve(now, amount, certain)
		left -= amount
	}
	w.countDemand(now, tokens)
	return r, true
}

func (w *holding) balance(now time.Time) int64 {
	return w.accounts[Base].balance(now) + w.accounts[Surplus].balance(now)
}

func (w *holding) countDemand(now time.Time, tokens int64) {
	w.demand *= max(0, 1-float64(now.Sub(w.demandAt))/float64(demandTime))
	w.demand += float64(tokens)
	w.demandAt = now
}

// Settle gives back what the reservation did not use; used is clipped to the
// reservation. A second settlement has no effect.
func (h *Holder) Settle(r *Reservation, used int64) {
	if r.settled {
		return
	}
	r.settled = true
	used = min(max(0, used), r.tokens)
	if w := h.workspaces[r.workspace]; w != nil {
		w.outcome += outcomeStep * (float64(used)/float64(max(1, r.tokens)) - w.outcome)
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

// Ask is one request to the owner of a part.
type Ask struct {
	Host    string
	Request *wire.QuotaRequest
	SentAt  time.Time
	// want is what the ask itself wants.
	want    int64
	account *account
}

// Ask plans the next exchange for a workspace that lacks tokens, or returns
// nil when no owner can have them. Parts in the mask tried are left out.
func (h *Holder) Ask(now time.Time, workspace string, tokens int64, limit Limit, tried [partCount]bool) *Ask {
	w := h.holding(workspace)
	if w == nil {
		return nil
	}
	var level [partCount]int64
	shard := ShardOf(workspace)
	for p := range Part(partCount) {
		if h.usable(now, w, p, shard) {
			level[p] = w.accounts[p].estimate(now, limit.part(p, h.settings.BasePercent))
		}
	}
	lacking := tokens - w.balance(now)
	if level[Base]+level[Surplus] < lacking {
		return nil
	}
	part := h.better(level)
	if tried[part] || level[part] <= 0 {
		part = 1 - part
	}
	if tried[part] || level[part] <= 0 {
		return nil
	}
	return h.ask(now, w, workspace, part, min(lacking, level[part]))
}

// better is the part with the higher level, and either when they are equal.
func (h *Holder) better(level [partCount]int64) Part {
	if level[Base] == level[Surplus] {
		return Part(h.nextID % partCount)
	}
	if level[Base] > level[Surplus] {
		return Base
	}
	return Surplus
}

// usable says whether the part has an owner that answers, and makes sure that
// the account is with that owner.
func (h *Holder) usable(now time.Time, w *holding, p Part, shard int) bool {
	host, fence, ok := h.ownership[p].Owner(shard)
	if !ok || now.Before(w.failed[p]) {
		return false
	}
	a := w.accounts[p]
	if a == nil || a.owner != host || a.fence != fence || a.expired(now) {
		h.nextID++
		w.accounts[p] = &account{part: p, owner: host, fence: fence, id: h.nextID, lastUse: now}
	}
	return true
}

// expired says whether the account was granted tokens and has ended.
func (a *account) expired(now time.Time) bool {
	return !a.expires.IsZero() && !now.Before(a.expires)
}

func (h *Holder) ask(now time.Time, w *holding, workspace string, p Part, want int64) *Ask {
	a := w.accounts[p]
	a.wanting += want
	r := a.request(workspace)
	r.WantTokens = a.wanting
	r.ExtraTokens = int64(w.demand / 2)
	a.sentAt = now
	return &Ask{Host: a.owner, Request: r, SentAt: now, want: want, account: a}
}

// request reports the account's totals.
func (a *account) request(workspace string) *wire.QuotaRequest {
	return &wire.QuotaRequest{
		Workspace:      workspace,
		Part:           uint32(a.part),
		Fence:          a.fence,
		Account:        a.id,
		SpentTokens:    a.used,
		ReturnedTokens: a.returned,
		ReceivedTokens: a.granted,
	}
}

// Answer takes the owner's answer to an ask; nil means that none came.
func (h *Holder) Answer(now time.Time, ask *Ask, g *wire.QuotaGrant) {
	a := ask.account
	a.wanting -= ask.want
	w := h.workspaces[ask.Request.GetWorkspace()]
	if w == nil || w.accounts[a.part] != a {
		return
	}
	if g == nil {
		w.failed[a.part] = now.Add(failedTime)
		return
	}
	if g.GetAccount() != a.id || g.GetFence() != a.fence || ask.late(now, g, h.settings) {
		return
	}
	if g.GetError() != "" {
		w.accounts[a.part] = nil
		if g.GetError() != errorUnknownAccount {
			w.failed[a.part] = now.Add(failedTime)
		}
		return
	}
	if a.expired(now) {
		// The owner may have counted its tokens as spent: no later answer
		// may bring them back.
		w.accounts[a.part] = nil
		return
	}
	a.take(ask, g, h.settings)
	a.level, a.levelAt = g.GetLevelTokens(), now
	a.reclaim(g.GetReclaimTokens())
}

// late says that the grants of the answer have ended on the way.
func (ask *Ask) late(now time.Time, g *wire.QuotaGrant, s *Settings) bool {
	return g.GetError() == "" && !now.Before(ask.expires(g, s))
}

// expires is when the account ends by the answer.
func (ask *Ask) expires(g *wire.QuotaGrant, s *Settings) time.Time {
	return ask.SentAt.Add(s.holderTTL(time.Duration(g.GetExpiresUs()) * time.Microsecond))
}

// take books what the answer grants and acknowledges.
func (a *account) take(ask *Ask, g *wire.QuotaGrant, s *Settings) {
	a.granted = max(a.granted, g.GetGrantedTokens())
	a.declaredUsed = max(a.declaredUsed, ask.Request.GetSpentTokens())
	a.declaredReturned = max(a.declaredReturned, ask.Request.GetReturnedTokens())
	if expires := ask.expires(g, s); expires.After(a.expires) {
		a.expires = expires
	}
}
