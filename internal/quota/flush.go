package quota

import "time"

// Flush plans the reports that are due: spent tokens, idle balances to give
// back, renewals of accounts with pending reservations. It drops what is idle.
func (h *Holder) Flush(now time.Time) []*Ask {
	var asks []*Ask
	for name, w := range h.workspaces {
		for p, a := range w.accounts {
			if a == nil {
				continue
			}
			if a.expired(now) || a.abandoned(now, h.settings) || a.spent(now, h.settings) {
				w.accounts[p] = nil
				continue
			}
			if ask := h.flush(now, name, a); ask != nil {
				asks = append(asks, ask)
			}
		}
		if w.idle(now) {
			delete(h.workspaces, name)
		}
	}
	return asks
}

// abandoned says that an idle account never got an answer.
func (a *account) abandoned(now time.Time, s *Settings) bool {
	return a.expires.IsZero() && a.wanting == 0 && now.Sub(a.lastUse) >= s.IdleReturn
}

// spent says that an idle account has nothing left that is worth a report: its
// owner counts it as spent when it expires, a little later than a report would.
func (a *account) spent(now time.Time, s *Settings) bool {
	idle := now.Sub(a.lastUse) >= s.IdleReturn && a.wanting == 0
	return idle && a.ample() && a.pending == 0 && a.balance(now) == 0
}

// outcomeLifetime is how long a workspace's mean outcome is kept without use.
const outcomeLifetime = time.Minute

func (w *holding) idle(now time.Time) bool {
	if w.accounts[Base] != nil || w.accounts[Surplus] != nil {
		return false
	}
	return now.Sub(w.demandAt) > outcomeLifetime
}

// flush returns the report that is due for the account, or nil.
func (h *Holder) flush(now time.Time, workspace string, a *account) *Ask {
	if now.Sub(a.sentAt) < h.settings.FlushEvery || a.wanting > 0 {
		return nil
	}
	idle := now.Sub(a.lastUse) >= h.settings.IdleReturn
	if idle {
		a.returned += a.balance(now)
	}
	done := idle && a.pending == 0
	if !done && !a.dirty() && !a.renewalDue(now, h.settings) {
		return nil
	}
	r := a.request(workspace)
	r.Close = done
	a.sentAt = now
	ask := &Ask{Host: a.owner, Request: r, SentAt: now, account: a}
	if r.Close {
		h.workspaces[workspace].accounts[a.part] = nil
	}
	return ask
}

// reportShare is the part of a burst, as a divisor, from which undeclared
// tokens are reported before the account ends or is renewed.
const reportShare = 32

// dirty says that the owner's bucket fills too slowly for what it does not
// know of the account's totals yet.
func (a *account) dirty() bool {
	unknown := a.used - a.declaredUsed + a.returned - a.declaredReturned
	return unknown > a.burst/reportShare
}

// renewShare is the part of GrantTTL, as a divisor, before the end of an
// account at which it is renewed.
const renewShare = 4

// renewalDue says that unsettled reservations or a balance would expire soon.
func (a *account) renewalDue(now time.Time, s *Settings) bool {
	return a.expires.Sub(now) < s.GrantTTL/renewShare && a.pending+a.balance(now) > 0
}
