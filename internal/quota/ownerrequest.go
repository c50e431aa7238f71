package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// ownerRetryDelay is how long an owner is skipped after a failed exchange or an
// error answer.
const ownerRetryDelay = 500 * time.Millisecond

// OwnerRequest is one request to the owner of a part.
type OwnerRequest struct {
	Host    string
	Request *wire.QuotaRequest
	SentAt  time.Time
	// requested is the number of tokens that this request adds to
	// account.requested.
	requested int64
	account   *account
}

// PlanRequest plans the next exchange for a workspace that is short of tokens.
// It returns nil if no owner can grant them. Parts set in tried are skipped.
func (h *Holder) PlanRequest(now time.Time, workspace string, tokens int64, limit Limit, tried [partCount]bool) *OwnerRequest {
	w := h.workspace(workspace)
	if w == nil {
		return nil
	}
	var level [partCount]int64
	shard := ShardOf(workspace)
	for p := range Part(partCount) {
		if h.ensureAccount(now, w, p, shard) {
			level[p] = w.accounts[p].estimateLevel(now, limit.part(p, h.settings.BasePercent))
		}
	}
	shortfall := tokens - w.balance(now)
	if level[Base]+level[Surplus] < shortfall {
		return nil
	}
	part := h.preferredPart(level)
	if tried[part] || level[part] <= 0 {
		part = 1 - part
	}
	if tried[part] || level[part] <= 0 {
		return nil
	}
	w.accounts[part].burst = limit.part(part, h.settings.BasePercent).Burst
	return h.newOwnerRequest(now, w, workspace, part, min(shortfall, level[part]))
}

// preferredPart returns the part with the higher level, or either one on a tie.
func (h *Holder) preferredPart(level [partCount]int64) Part {
	if level[Base] == level[Surplus] {
		return Part(h.lastID % partCount)
	}
	if level[Base] > level[Surplus] {
		return Base
	}
	return Surplus
}

// ensureAccount reports whether the part has an owner that can be asked, and
// opens a new account if the current one belongs to another owner or has
// expired.
func (h *Holder) ensureAccount(now time.Time, w *workspaceState, p Part, shard int) bool {
	host, fence, ok := h.ownership[p].Owner(shard)
	if !ok || now.Before(w.unreachableUntil[p]) {
		return false
	}
	a := w.accounts[p]
	if a == nil || !a.belongsTo(host, fence) || a.expired(now) {
		h.lastID++
		w.accounts[p] = &account{part: p, owner: host, fence: fence, id: h.lastID, lastUsed: now}
	}
	return true
}

// belongsTo reports whether the account was opened with this owner. A fence of
// zero means unknown and matches any fence.
func (a *account) belongsTo(host string, fence int64) bool {
	return a.owner == host && (a.fence == fence || a.fence == 0 || fence == 0)
}

// expired reports whether the account had been granted tokens and its grant has
// ended.
func (a *account) expired(now time.Time) bool {
	return !a.expires.IsZero() && !now.Before(a.expires)
}

func (h *Holder) newOwnerRequest(now time.Time, w *workspaceState, workspace string, p Part, tokens int64) *OwnerRequest {
	a := w.accounts[p]
	a.requested += tokens
	r := a.buildRequest(workspace)
	r.WantTokens = a.requested
	r.ExtraTokens = int64(w.recentDemand(now) / 2)
	a.sentAt = now
	return &OwnerRequest{Host: a.owner, Request: r, SentAt: now, requested: tokens, account: a}
}

// buildRequest returns a request that carries the account's totals.
func (a *account) buildRequest(workspace string) *wire.QuotaRequest {
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

// ApplyAnswer applies the owner's answer to the request. A nil grant means that
// the exchange failed.
func (h *Holder) ApplyAnswer(now time.Time, request *OwnerRequest, g *wire.QuotaGrant) {
	a := request.account
	a.requested -= request.requested
	w := h.workspaces[request.Request.GetWorkspace()]
	if w == nil || w.accounts[a.part] != a {
		return
	}
	if g == nil {
		w.unreachableUntil[a.part] = now.Add(ownerRetryDelay)
		return
	}
	if g.GetAccount() != a.id || request.expiredInTransit(now, g, h.settings) {
		return
	}
	if g.GetError() != "" {
		w.accounts[a.part] = nil
		if g.GetError() != errorUnknownAccount {
			w.unreachableUntil[a.part] = now.Add(ownerRetryDelay)
		}
		return
	}
	if a.fence != 0 && a.fence != g.GetFence() {
		return
	}
	if a.expired(now) {
		// The owner may have counted the tokens as spent already, so no later
		// answer may restore them.
		w.accounts[a.part] = nil
		return
	}
	a.fence = g.GetFence()
	a.applyGrant(request, g, h.settings)
	a.level, a.levelAt = g.GetLevelTokens(), now
	a.reclaim(g.GetReclaimTokens())
}

// expiredInTransit reports whether the answer's grant expired before it
// arrived.
func (r *OwnerRequest) expiredInTransit(now time.Time, g *wire.QuotaGrant, s *Settings) bool {
	return g.GetError() == "" && !now.Before(r.expiry(g, s))
}

// expiry returns when the account expires according to the answer, counted from
// the time the request was sent.
func (r *OwnerRequest) expiry(g *wire.QuotaGrant, s *Settings) time.Time {
	return r.SentAt.Add(s.holderTTL(time.Duration(g.GetExpiresUs()) * time.Microsecond))
}

// applyGrant records the totals that the answer grants and acknowledges.
func (a *account) applyGrant(request *OwnerRequest, g *wire.QuotaGrant, s *Settings) {
	a.granted = max(a.granted, g.GetGrantedTokens())
	a.reportedUsed = max(a.reportedUsed, request.Request.GetSpentTokens())
	a.reportedReturned = max(a.reportedReturned, request.Request.GetReturnedTokens())
	if expires := request.expiry(g, s); expires.After(a.expires) {
		a.expires = expires
	}
}
