package audit

// checkProviderOrders finds fencing tokens that two issuers used, and orders
// with a lower token than an earlier order, even if the provider rejected them.
func checkProviderOrders(rep *report, r *Record, _ Bounds) {
	issuers := make(map[int64]string)
	for _, o := range r.Provider.Orders {
		rep.countExamined()
		if other, known := issuers[o.Fence]; known && other != o.Issuer {
			rep.addFinding("%s and %s ordered with fencing number %d", other, o.Issuer, o.Fence)
		}
		issuers[o.Fence] = o.Issuer
		if o.Fence < o.HighestFence {
			rep.addFinding("%s ordered with fencing number %d after %d", o.Issuer, o.Fence, o.HighestFence)
		}
	}
}
