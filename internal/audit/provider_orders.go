package audit

// checkProviderOrders looks for two issuers with one fencing number, and for a
// lower number after a higher one, whether or not the provider refused it.
func checkProviderOrders(rep *report, r *Record, _ Bounds) {
	issuers := make(map[int64]string)
	for _, o := range r.Provider.Orders {
		rep.saw()
		if other, known := issuers[o.Fence]; known && other != o.Issuer {
			rep.add("%s and %s ordered with fencing number %d", other, o.Issuer, o.Fence)
		}
		issuers[o.Fence] = o.Issuer
		if o.Fence < o.HighestFence {
			rep.add("%s ordered with fencing number %d after %d", o.Issuer, o.Fence, o.HighestFence)
		}
	}
}
