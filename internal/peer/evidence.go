package peer

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/peer/peerwire"
	"github.com/acacialink/acacialink/internal/suspect"
)

// EncodeEvidence returns the wire form of a batch as a message of its own.
func EncodeEvidence(b suspect.Batch) ([]byte, error) { return EncodeSnapshot(&Snapshot{Evidence: b}) }

// DecodeEvidence decodes a message of EncodeEvidence.
func DecodeEvidence(buf []byte) (suspect.Batch, error) {
	var s Snapshot
	err := DecodeSnapshot(buf, &s)
	return s.Evidence, err
}

// evidence returns the wire form of a batch; nil if there are no positions to tell.
func (t *nameTable) evidence(b suspect.Batch) *peerwire.Evidence {
	if b.Reports.Next == 0 && b.Survivals.Next == 0 {
		return nil
	}
	w := &peerwire.Evidence{
		ReportsFirst: b.Reports.First, ReportsNext: b.Reports.Next,
		SurvivalsFirst: b.Survivals.First, SurvivalsNext: b.Survivals.Next,
	}
	for _, r := range b.Reports.Records {
		w.Reports = append(w.Reports, t.report(r))
	}
	for _, s := range b.Survivals.Records {
		w.Survivals = append(w.Survivals, &peerwire.Survival{
			Service: t.index(s.Segment.Service), Segment: s.Segment.Hash, AgeMs: s.Age.Milliseconds(),
			Origin: t.index(s.Origin), Number: s.Number, Young: int32(s.Young), Settled: int32(s.Settled), //nolint:gosec // counts of an interval
		})
	}
	return w
}

func (t *nameTable) report(r suspect.AgedReport) *peerwire.Report {
	w := &peerwire.Report{AgeMs: r.Age.Milliseconds()}
	if c := r.Crash; c != nil {
		w.Engine, w.StartedAtMs, w.Origin, w.Service = t.index(c.Engine.ID), c.Engine.StartedAtMS, t.index(c.Origin), t.index(c.Service)
		w.Number = uint32(c.Number) //nolint:gosec // a count
		for _, r := range c.Requests {
			w.Requests = append(w.Requests, &peerwire.SuspectRequest{Segments: r.Segments, AgeMs: r.Age.Milliseconds()})
		}
	} else if o := r.Order; o != nil {
		w.Service, w.Segment, w.Hold = t.index(o.Segment.Service), o.Segment.Hash, o.Hold
	}
	return w
}

// evidence returns a batch; reports that name no engine or service are left empty, since
// their numbers count.
func (l nameList) evidence(w *peerwire.Evidence) suspect.Batch {
	var b suspect.Batch
	b.Reports.First, b.Reports.Next = w.GetReportsFirst(), w.GetReportsNext()
	b.Survivals.First, b.Survivals.Next = w.GetSurvivalsFirst(), w.GetSurvivalsNext()
	for _, r := range w.GetReports() {
		b.Reports.Records = append(b.Reports.Records, l.report(r))
	}
	for _, s := range w.GetSurvivals() {
		service, _ := l.name(s.GetService())
		origin, _ := l.name(s.GetOrigin())
		b.Survivals.Records = append(b.Survivals.Records, suspect.AgedSurvival{Age: ageOf(s.GetAgeMs()), Survival: suspect.Survival{
			Segment: suspect.Segment{Service: service, Hash: s.GetSegment()}, Origin: origin, Number: s.GetNumber(),
			Young: int(s.GetYoung()), Settled: int(s.GetSettled()),
		}})
	}
	return b
}

func (l nameList) report(r *peerwire.Report) suspect.AgedReport {
	out := suspect.AgedReport{Age: ageOf(r.GetAgeMs())}
	service, ok := l.name(r.GetService())
	if !ok {
		return out
	}
	engine, isCrash := l.name(r.GetEngine())
	if !isCrash {
		out.Order = &suspect.Order{Segment: suspect.Segment{Service: service, Hash: r.GetSegment()}, Hold: r.GetHold()}
		return out
	}
	origin, _ := l.name(r.GetOrigin())
	out.Crash = &suspect.Crash{Origin: origin, Number: int(r.GetNumber()), Engine: endpoint.Key{ID: engine, StartedAtMS: r.GetStartedAtMs()}, Service: service}
	for _, request := range r.GetRequests() {
		out.Crash.Requests = append(out.Crash.Requests, suspect.CrashRequest{Segments: request.GetSegments(), Age: ageOf(request.GetAgeMs())})
	}
	return out
}

// ageOf returns an age in milliseconds as a duration that is not negative.
func ageOf(ms int64) time.Duration {
	return time.Duration(max(0, min(ms, maxAgeMillis))) * time.Millisecond
}

// maxAgeMillis bounds the ages that are told apart: one day.
const maxAgeMillis = 24 * 3600 * 1000
