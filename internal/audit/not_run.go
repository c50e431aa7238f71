package audit

// checkNotRun looks for work on requests whose callers were told "not-run".
func checkNotRun(rep *report, r *Record, _ Bounds) {
	worked := make(map[string]string)
	for _, s := range r.Services {
		for _, c := range s.Calls {
			if c.Run > 0 {
				worked[c.RequestID] = s.Name
			}
		}
	}
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			if g.Started {
				worked[g.ID] = e.Name
			}
		}
	}
	for _, q := range r.Requests {
		if !q.refusedNotRun() {
			continue
		}
		rep.saw()
		if endpoint, ran := worked[q.ID]; ran {
			rep.add("request %s was refused as not-run but ran at %s", q.ID, endpoint)
		}
	}
}
