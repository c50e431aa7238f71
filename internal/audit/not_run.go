package audit

// checkNotRun finds requests that were rejected with the verdict "not-run" but
// that an endpoint executed.
func checkNotRun(rep *report, r *Record, _ Bounds) {
	executedAt := make(map[string]string)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			if c.Run > 0 {
				executedAt[c.RequestID] = s.Name
			}
		}
	}
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if g.Started {
				executedAt[g.ID] = e.Name
			}
		}
	}
	for _, req := range r.Requests {
		if !req.rejectedNotRun() {
			continue
		}
		rep.countExamined()
		if endpoint, ran := executedAt[req.ID]; ran {
			rep.addFinding("request %s was refused as not-run but ran at %s", req.ID, endpoint)
		}
	}
}
