package audit

const resultDone = "done"

// checkLostAuthority looks for orders that took effect although a higher
// fencing number had been received.
func checkLostAuthority(rep *report, r *Record, _ Bounds) {
	for _, e := range r.Engines {
		for _, o := range e.Orders {
			rep.saw()
			if o.Result == resultDone && o.Fence < o.HighestFence {
				rep.add("engine %s carried out order %s of %s with fencing number %d after %d", e.Name, o.ID, o.Issuer, o.Fence, o.HighestFence)
			}
		}
	}
	for _, o := range r.Provider.Orders {
		rep.saw()
		if o.Result == resultDone && o.Fence < o.HighestFence {
			rep.add("the provider carried out the %s %s of %s with fencing number %d after %d", o.Kind, o.ID, o.Issuer, o.Fence, o.HighestFence)
		}
	}
}
