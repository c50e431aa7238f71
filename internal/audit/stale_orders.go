package audit

const resultDone = "done"

// checkStaleOrders finds orders that took effect although the receiver had
// already received a higher fencing token.
func checkStaleOrders(rep *report, r *Record, _ Bounds) {
	for _, e := range r.Engines {
		for _, o := range e.Orders {
			rep.countExamined()
			if o.Result == resultDone && o.Fence < o.HighestFence {
				rep.addFinding("engine %s carried out order %s of %s with fencing number %d after %d", e.Name, o.ID, o.Issuer, o.Fence, o.HighestFence)
			}
		}
	}
	for _, o := range r.Provider.Orders {
		rep.countExamined()
		if o.Result == resultDone && o.Fence < o.HighestFence {
			rep.addFinding("the provider carried out the %s %s of %s with fencing number %d after %d", o.Kind, o.ID, o.Issuer, o.Fence, o.HighestFence)
		}
	}
}
