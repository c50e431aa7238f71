package suspect

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/updatelog"
)

// Batch is a sequence of reports and one of survivals of one sender. Times are ages at
// the time of sending.
type Batch struct {
	Reports   Updates[AgedReport]
	Survivals Updates[AgedSurvival]
}

// Updates is a numbered sequence of updates: First is the number of the first one, Next
// the one after the last.
type Updates[T any] struct {
	First, Next int64
	Records     []T
}

// AgedReport is a report with its age. The times in it are not set.
type AgedReport struct {
	Report
	Age time.Duration
}

// AgedSurvival is a survival with the age of its beginning. The time in it is not set.
type AgedSurvival struct {
	Survival
	Age time.Duration
}

const (
	// maxBatchReports and maxBatchSurvivals bound the updates of one message. The rest
	// follows in the next ones.
	maxBatchReports   = 32
	maxBatchSurvivals = 256
)

// OwnSince returns the evidence of this host, and of those that report to it, from the
// numbers on.
func (l *Ledger) OwnSince(now time.Time, reports, survivals int64) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Batch{agedReports(now, l.reports.OwnSince, reports), agedSurvivals(now, l.survivals.OwnSince, survivals)}
}

// AllSince returns the evidence of all hosts from the numbers on. The numbers differ from
// those of OwnSince.
func (l *Ledger) AllSince(now time.Time, reports, survivals int64) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Batch{agedReports(now, l.reports.AllSince, reports), agedSurvivals(now, l.survivals.AllSince, survivals)}
}

// limited returns at most limit of the retained updates from a number on, the oldest
// first, and converts them.
func limited[T, U any](since func(int64) ([]T, int64, int64), number int64, limit int, convert func(T) U) Updates[U] {
	records, first, next := since(number)
	if dropped := len(records) - limit; dropped > 0 {
		records, next = records[:limit], next-int64(dropped)
	}
	out := Updates[U]{First: first, Next: next}
	for _, r := range records {
		out.Records = append(out.Records, convert(r))
	}
	return out
}

func agedReports(now time.Time, since func(int64) ([]Report, int64, int64), number int64) Updates[AgedReport] {
	return limited(since, number, maxBatchReports, func(r Report) AgedReport {
		switch {
		case r.Crash != nil:
			return AgedReport{r, now.Sub(r.Crash.At)}
		case r.Order != nil:
			return AgedReport{r, now.Sub(r.Order.At)}
		default:
			return AgedReport{}
		}
	})
}

func agedSurvivals(now time.Time, since func(int64) ([]Survival, int64, int64), number int64) Updates[AgedSurvival] {
	return limited(since, number, maxBatchSurvivals, func(s Survival) AgedSurvival {
		age := now.Sub(s.BegunAt)
		s.BegunAt = time.Time{}
		return AgedSurvival{s, age}
	})
}

// Receive applies the evidence of a sender, each report once. With relay, it is handed
// on like that of this host.
func (l *Ledger) Receive(now time.Time, sender string, batch Batch, relay bool) {
	if len(batch.Reports.Records) == 0 && len(batch.Survivals.Records) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	judge := false
	for _, r := range receive(l.reports, sender, batch.Reports, relay, func(r AgedReport) Report { return r.at(now) }) {
		switch {
		case r.Crash != nil:
			l.addCrash(now, *r.Crash)
		case r.Order != nil:
			l.addOrder(*r.Order)
		}
		judge = true
	}
	for _, s := range receive(l.survivals, sender, batch.Survivals, relay, func(s AgedSurvival) Survival {
		s.BegunAt = now.Add(-s.Age)
		return s.Survival
	}) {
		if len(l.answers.known) < maxReports*maxRequests && l.answers.add(s) {
			judge = judge || l.isHeld(s.Segment)
		}
	}
	if judge {
		l.mature(now)
		l.flush(now)
		l.judge(now)
	}
}

// receive converts updates and returns those that are new.
func receive[T, U any](relay *updatelog.Relay[U], sender string, updates Updates[T], handOn bool, convert func(T) U) []U {
	records := make([]U, 0, len(updates.Records))
	for _, r := range updates.Records {
		records = append(records, convert(r))
	}
	return relay.Receive(sender, updates.First, updates.Next, records, handOn)
}

// at returns the report with its time.
func (r AgedReport) at(now time.Time) Report {
	switch {
	case r.Crash != nil:
		crash := *r.Crash
		crash.At = now.Add(-r.Age)
		crash.Requests = slices.Clone(crash.Requests[:min(len(crash.Requests), maxRequests)])
		return Report{Crash: &crash}
	case r.Order != nil:
		order := *r.Order
		order.At = now.Add(-r.Age)
		return Report{Order: &order}
	default:
		return Report{}
	}
}
