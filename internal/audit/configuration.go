package audit

import (
	"slices"
)

// checkConfiguration finds processes that reverted to a lower revision, and
// processes that used a revision older than an accepted change after
// Bounds.ApplyWithin had elapsed.
func checkConfiguration(rep *report, r *Record, b Bounds) {
	observations := slices.Clone(r.RevisionObservations)
	slices.SortStableFunc(observations, func(x, y RevisionObservation) int { return x.At.Compare(y.At) })
	highest := make(map[string]int64)
	for _, s := range observations {
		rep.countExamined()
		if s.Revision < highest[s.Process] {
			rep.addFinding("%s went back from revision %d to %d", s.Process, highest[s.Process], s.Revision)
		}
		highest[s.Process] = max(highest[s.Process], s.Revision)
		for _, c := range r.Changes {
			if s.Revision < c.Revision && s.At.After(c.AcceptedAt.Add(b.ApplyWithin)) {
				rep.addFinding("%s used revision %d at %v after %d was accepted", s.Process, s.Revision, s.At.Sub(c.AcceptedAt), c.Revision)
			}
		}
	}
}
