package audit

import (
	"slices"
)

// checkConfiguration looks for processes that went back to a lower revision,
// and for those that used an older one than a change that had to be in force.
func checkConfiguration(rep *report, r *Record, b Bounds) {
	seen := slices.Clone(r.Seen)
	slices.SortStableFunc(seen, func(x, y ConfigSeen) int { return x.At.Compare(y.At) })
	highest := make(map[string]int64)
	for _, s := range seen {
		rep.saw()
		if s.Revision < highest[s.Process] {
			rep.add("%s went back from revision %d to %d", s.Process, highest[s.Process], s.Revision)
		}
		highest[s.Process] = max(highest[s.Process], s.Revision)
		for _, c := range r.Changes {
			if s.Revision < c.Revision && s.At.After(c.AcceptedAt.Add(b.ForceWithin)) {
				rep.add("%s used revision %d at %v after %d was accepted", s.Process, s.Revision, s.At.Sub(c.AcceptedAt), c.Revision)
			}
		}
	}
}
