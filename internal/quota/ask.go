package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// failedTime is how long an owner that failed to answer is left alone.
const failedTime = 500 * time.Millisecond

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
	w.accounts[part].burst = limit.part(part, h.settings.BasePercent).Burst
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
	if a == nil || !a.with(host, fence) || a.expired(now) {
		h.nextID++
		w.accounts[p] = &account{part: p, owner: host, fence: fence, id: h.nextID, lastUse: now}
	}
	return true
}

// with says whether the account is with that owner; a fence of zero is not known.
func (a *account) with(host string, fence int64) bool {
	return a.owner == host && (a.fence == fence || a.fence == 0 || fence == 0)
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
	r.ExtraTokens = int64(w.recent(now) / 2)
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
	if g.GetAccount() != a.id || ask.late(now, g, h.settings) {
		return
	}
	if g.GetError() != "" {
		w.accounts[a.part] = nil
		if g.GetError() != errorUnknownAccount {
			w.failed[a.part] = now.Add(failedTime)
		}
		return
	}
	if a.fence != 0 && a.fence != g.GetFence() {
		return
	}
	if a.expired(now) {
		// The owner may have counted its tokens as spent: no later answer
		// may bring them back.
		w.accounts[a.part] = nil
		return
	}
	a.fence = g.GetFence()
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
