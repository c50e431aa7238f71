package quota

import "time"

// DueReports returns the reports that are due: spent tokens, idle balances to
// return and renewals of accounts with a balance or pending reservations. It
// drops idle accounts and workspaces.
func (h *Holder) DueReports(now time.Time) []*OwnerRequest {
	var requests []*OwnerRequest
	for name, w := range h.workspaces {
		for p, a := range w.accounts {
			if a == nil {
				continue
			}
			if a.expired(now) || a.neverGranted(now, h.settings) || a.exhausted(now, h.settings) {
				w.accounts[p] = nil
				continue
			}
			if request := h.dueReport(now, name, a); request != nil {
				requests = append(requests, request)
			}
		}
		if w.idle(now) {
			delete(h.workspaces, name)
		}
	}
	return requests
}

// neverGranted reports whether an idle account has never received an answer.
func (a *account) neverGranted(now time.Time, s *Settings) bool {
	return a.expires.IsZero() && a.requested == 0 && now.Sub(a.lastUsed) >= s.IdleTimeout
}

// exhausted reports whether an idle account has nothing left that is worth a
// report. Its owner counts the tokens as spent when the account expires,
// slightly later than a report would.
func (a *account) exhausted(now time.Time, s *Settings) bool {
	idle := now.Sub(a.lastUsed) >= s.IdleTimeout && a.requested == 0
	return idle && a.ownerHasHeadroom() && a.pending == 0 && a.balance(now) == 0
}

// usageRatioTTL is how long a workspace's usage ratio is retained without use.
const usageRatioTTL = time.Minute

func (w *workspaceState) idle(now time.Time) bool {
	if w.accounts[Base] != nil || w.accounts[Surplus] != nil {
		return false
	}
	return now.Sub(w.demandAt) > usageRatioTTL
}

// dueReport returns the report that is due for the account, or nil.
func (h *Holder) dueReport(now time.Time, workspace string, a *account) *OwnerRequest {
	if now.Sub(a.sentAt) < h.settings.FlushInterval || a.requested > 0 {
		return nil
	}
	idle := now.Sub(a.lastUsed) >= h.settings.IdleTimeout
	if idle {
		a.returned += a.balance(now)
	}
	done := idle && a.pending == 0
	if !done && !a.exceedsReportThreshold() && !a.renewalDue(now, h.settings) {
		return nil
	}
	r := a.buildRequest(workspace)
	r.Close = done
	a.sentAt = now
	request := &OwnerRequest{Host: a.owner, Request: r, SentAt: now, account: a}
	if r.Close {
		h.workspaces[workspace].accounts[a.part] = nil
	}
	return request
}

// reportBurstDivisor sets the threshold for early reports: unreported tokens
// above burst/reportBurstDivisor are reported before the account ends or is
// renewed.
const reportBurstDivisor = 32

// exceedsReportThreshold reports whether the totals that the owner has not
// received are large enough to slow the refill of its bucket.
func (a *account) exceedsReportThreshold() bool {
	unreported := a.used - a.reportedUsed + a.returned - a.reportedReturned
	return unreported > a.burst/reportBurstDivisor
}

// renewTTLDivisor sets the renewal threshold: an account is renewed when less
// than GrantTTL/renewTTLDivisor remains.
const renewTTLDivisor = 4

// renewalDue reports whether pending reservations or a balance would expire
// soon.
func (a *account) renewalDue(now time.Time, s *Settings) bool {
	return a.expires.Sub(now) < s.GrantTTL/renewTTLDivisor && a.pending+a.balance(now) > 0
}
