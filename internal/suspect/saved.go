package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxSavedAnswers bounds the reports on answers that are saved, the latest ones.
const maxSavedAnswers = 512

// Version changes with the evidence against segments and with the verdicts.
func (l *Ledger) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Snapshot returns the evidence of all hosts, with at most limit reports of crashes, the latest
// ones, and which segments were answered.
func (l *Ledger) Snapshot(now time.Time, limit int) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b Batch
	crashes := slices.SortedStableFunc(slices.Values(l.crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	for _, c := range crashes[max(0, len(crashes)-limit):] {
		b.Reports.Records = append(b.Reports.Records, AgedReport{Report{Crash: &c}, now.Sub(c.At)})
	}
	for _, o := range l.orders {
		b.Reports.Records = append(b.Reports.Records, AgedReport{Report{Order: &o}, now.Sub(o.At)})
	}
	var answers []Survival
	for segment := range l.suspects {
		answers = append(answers, l.answers.reports[segment]...)
		if l.answered(segment) {
			b.Survivals.Records = append(b.Survivals.Records, AgedSurvival{Survival{Segment: segment}, 0})
		}
	}
	slices.SortFunc(answers, func(a, b Survival) int { return b.BegunAt.Compare(a.BegunAt) })
	answers = answers[:min(len(answers), maxSavedAnswers)]
	slices.SortFunc(answers, func(a, b Survival) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Number, b.Number))
	})
	for _, s := range answers {
		b.Survivals.Records = append(b.Survivals.Records, AgedSurvival{s, now.Sub(s.BegunAt)})
	}
	b.Reports.Next, b.Survivals.Next = int64(len(b.Reports.Records)), int64(len(b.Survivals.Records))
	return b
}

// Restore adds evidence that was saved before the given time. It is not told to other hosts.
func (l *Ledger) Restore(now time.Time, saved time.Duration, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range b.Survivals.Records {
		if len(l.answers.known) < maxReports*maxRequests {
			s.BegunAt = now.Add(-saved - s.Age)
			l.answers.add(s.Survival)
		}
	}
	for _, r := range b.Reports.Records {
		r.Age += saved
		switch report := r.at(now); {
		case r.Age > evidenceTTL:
		case report.Crash != nil:
			l.addCrash(now, *report.Crash)
		case report.Order != nil:
			l.addOrder(*report.Order)
		}
	}
	l.judge(now)
}
