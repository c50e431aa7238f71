package suspect

import (
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

const (
	// youngAge and settledAge are the ages of an answer at which it speaks for its
	// segments, in part and in full, if its engine has not crashed by then. An engine
	// may crash after it has sent the whole answer, so the age counts whether or not
	// the answer has ended.
	youngAge   = 250 * time.Millisecond
	settledAge = 2500 * time.Millisecond
	// quietTime is the time without a sign of an engine after which it is taken to run, if
	// its answers had ended.
	quietTime = 750 * time.Millisecond
	// matureInterval is the least time between reviews of more than fewPending requests
	// that reach an age.
	matureInterval = 20 * time.Millisecond
	fewPending     = 256
	// maxExposures bounds the requests of one engine that are remembered, maxPending
	// those of all that have not reached an age.
	maxExposures = 128
	maxPending   = 16 << 10
	// maxEngines bounds the engines that are remembered.
	maxEngines = 1024
)

// exposure is a request that an engine had, which its segments may have crashed.
type exposure struct {
	segments []uint64
	// begunAt is when the answer began, or when the request was lost if it had not.
	begunAt time.Time
	// answered reports whether the request was answered, or for a while.
	answered bool
	// unfinished reports whether the request was on the engine when it was lost.
	unfinished bool
	// reported reports whether the fleet was told that the engine crashed under it.
	reported bool
	// young and settled report whether the request has reached the age and speaks for its
	// segments.
	young, settled bool
}

// engineRecord holds what this host knows of one incarnation of an engine.
type engineRecord struct {
	key     endpoint.Key
	service string
	// exposures holds the requests that are not settled.
	exposures []*exposure
	// lostAt is when the engine was first lost under a request; zero if it was not.
	lostAt time.Time
	// crashed reports whether the engine is known to have crashed, at crashedAt. reports
	// is the number of reports on it.
	crashed   bool
	crashedAt time.Time
	reports   int
	// aliveAt is when something last came from the engine.
	aliveAt time.Time
	// usedAt is when the record was last used.
	usedAt time.Time
}

// pendingExposure is a request that reaches an age.
type pendingExposure struct {
	record *engineRecord
	*exposure
}

// record returns the record of an engine and adds it if it is new; nil if there are too
// many. The caller holds mu.
func (l *Ledger) record(now time.Time, engine endpoint.Key, service string) *engineRecord {
	r := l.engines[engine]
	if r == nil {
		if len(l.engines) >= maxEngines {
			l.forgetEngines(now)
		}
		if len(l.engines) >= maxEngines {
			return nil
		}
		r = &engineRecord{key: engine, service: service}
		l.engines[engine] = r
	}
	r.usedAt = now
	return r
}

// forgetEngines drops the records that can no longer be reported. The caller holds mu.
func (l *Ledger) forgetEngines(now time.Time) {
	maps.DeleteFunc(l.engines, func(_ endpoint.Key, r *engineRecord) bool { return now.Sub(r.usedAt) > lostTTL })
}

// isLost reports whether the engine was lost under a request a short time ago and may
// have crashed.
func (r *engineRecord) isLost(now time.Time) bool {
	return !r.lostAt.IsZero() && now.Sub(r.lostAt) <= lostTTL
}

// expose adds a request to the record. It waits for its ages. The caller holds mu.
func (l *Ledger) expose(r *engineRecord, e *exposure) {
	if len(r.exposures) >= maxExposures {
		r.exposures = append(r.exposures[:0], r.exposures[1:]...)
	}
	r.exposures = append(r.exposures, e)
	if e.unfinished || len(l.pendingYoung) >= maxPending {
		return
	}
	l.pendingYoung = append(l.pendingYoung, pendingExposure{r, e})
}

// find returns the request whose answer began at the given time; nil if it is not known.
func (r *engineRecord) find(begun time.Time, segments []uint64) *exposure {
	for _, e := range r.exposures {
		if e.begunAt.Equal(begun) && slices.Equal(e.segments, segments) {
			return e
		}
	}
	return nil
}

// mature lets the requests that have reached an age, on engines that are known to have run
// until then, speak for their segments. The caller holds mu.
func (l *Ledger) mature(now time.Time) {
	busy := len(l.pendingYoung)+len(l.pendingSettled) > fewPending
	if age := now.Sub(l.maturedAt); busy && age >= 0 && age < matureInterval {
		return
	}
	l.maturedAt = now
	l.pendingYoung = l.matured(now, l.pendingYoung, youngAge, func(p pendingExposure) {
		p.young = true
		l.credit(now, p.record.service, p.exposure, 1, 0)
		if len(l.pendingSettled) < maxPending {
			l.pendingSettled = append(l.pendingSettled, p)
		}
	})
	l.pendingSettled = l.matured(now, l.pendingSettled, settledAge, func(p pendingExposure) {
		if !p.young {
			return
		}
		p.settled = true
		l.credit(now, p.record.service, p.exposure, 0, 1)
		p.record.settle()
	})
}

// matured calls survived for the pending requests that have reached the age and whose
// engines have not crashed by then, and returns those that wait. The caller holds mu.
func (l *Ledger) matured(now time.Time, pending []pendingExposure, age time.Duration, survived func(pendingExposure)) []pendingExposure {
	return slices.DeleteFunc(pending, func(p pendingExposure) bool {
		r, passed := p.record, now.Sub(p.begunAt)
		switch {
		case r.crashed || r.isLost(now) || p.unfinished || passed > lostTTL+age:
			return true
		case passed >= age && (r.aliveAt.Sub(p.begunAt) >= age || p.answered && passed >= age+quietTime):
			survived(p)
			return true
		default:
			return false
		}
	})
}

// settle drops the requests that are settled, which come first.
func (r *engineRecord) settle() {
	n := 0
	for n < len(r.exposures) && r.exposures[n].settled {
		n++
	}
	r.exposures = r.exposures[n:]
}

// credit counts answers for the segments of a request; negative numbers take them back.
// The caller holds mu.
func (l *Ledger) credit(now time.Time, service string, e *exposure, young, settled int) {
	for _, hash := range e.segments {
		segment := Segment{service, hash}
		switch {
		case young < 0:
			l.survivors.remove(segment, e.begunAt)
		default:
			l.survivors.add(now, segment, e.begunAt)
		}
		if l.suspects[segment] == 0 {
			continue
		}
		if young > 0 && !l.answers.known[segment] {
			l.addSurvival(l.answers.next(Survival{Segment: segment, BegunAt: e.begunAt}))
		}
		l.answers.count(segment, e.begunAt, young, settled)
	}
}

// suspectsAt takes the requests from the record that may have crashed the engine at the
// given time, and takes back what they spoke for their segments. The caller holds mu.
func (l *Ledger) suspectsAt(now, at time.Time, r *engineRecord) []CrashRequest {
	var requests []CrashRequest
	for _, e := range r.exposures {
		age := at.Sub(e.begunAt)
		if e.reported || e.settled || age >= settledAge || !e.unfinished && age < 0 {
			continue
		}
		if e.young {
			e.young = false
			l.credit(now, r.service, e, -1, 0)
		}
		e.reported = true
		requests = append(requests, CrashRequest{Segments: e.segments, Age: max(0, age)})
	}
	return requests
}
