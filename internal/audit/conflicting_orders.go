package audit

import "github.com/acacialink/acacialink/internal/standin/engine"

// checkConflictingOrders finds orders that overlapped at one engine, and fencing
// tokens that two issuers used.
func checkConflictingOrders(rep *report, r *Record, _ Bounds) {
	for _, e := range r.Engines {
		issuers := make(map[int64]string)
		for _, o := range e.Orders {
			rep.countExamined()
			if o.Overlaps {
				rep.addFinding("engine %s got order %s of %s while another was in progress", e.Name, o.ID, o.Issuer)
			}
			checkIssuer(rep, e, o, issuers)
		}
	}
}

func checkIssuer(rep *report, e engine.Record, o engine.OrderRecord, issuers map[int64]string) {
	other, known := issuers[o.Fence]
	if known && other != o.Issuer {
		rep.addFinding("engine %s got orders of %s and %s with fencing number %d", e.Name, other, o.Issuer, o.Fence)
	}
	issuers[o.Fence] = o.Issuer
}
