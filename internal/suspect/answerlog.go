package suspect

import (
	"maps"
	"time"
)

const (
	// answerInterval is the time within which the answers with one segment are told
	// together.
	answerInterval = 500 * time.Millisecond
	// maxUntold bounds the intervals of one segment that have not been told.
	maxUntold = 16
	// maxAnswers bounds the reports on one segment that are kept; the older half is
	// dropped. maxOrigins bounds the hosts whose numbers are kept.
	maxAnswers = 512
	maxOrigins = 4096
)

// answerLog keeps what all hosts report on answers with suspect segments, and what this
// host has not told yet. It is not safe for concurrent use.
type answerLog struct {
	host   string
	number int64
	// untold holds the answers of this host that have not been told, by interval.
	untold map[Segment][]Survival
	// reports holds the reports of all hosts, known the segments that were answered.
	reports map[Segment][]Survival
	known   map[Segment]bool
	// received holds the highest number received from each host.
	received map[string]int64
}

func newAnswerLog(host string) *answerLog {
	return &answerLog{
		host: host, untold: make(map[Segment][]Survival), reports: make(map[Segment][]Survival),
		known: make(map[Segment]bool), received: make(map[string]int64),
	}
}

// count counts answers of this host that began at the given time.
func (a *answerLog) count(segment Segment, begun time.Time, young, settled int) {
	list := a.untold[segment]
	for i := range list {
		if age := begun.Sub(list[i].BegunAt); age >= 0 && age < answerInterval {
			list[i].Young += young
			list[i].Settled += settled
			return
		}
	}
	if len(list) >= maxUntold {
		list = append(list[:0], list[1:]...)
	}
	a.untold[segment] = append(list, Survival{Segment: segment, BegunAt: begun, Young: young, Settled: settled})
}

// due returns what is to be told. state returns whether a segment is suspect, and whether
// it is held back: that is told of at once, the others when their interval has passed.
func (a *answerLog) due(now time.Time, state func(Segment) (suspect, held bool)) []Survival {
	var due []Survival
	for segment, list := range a.untold {
		suspect, held := state(segment)
		if !suspect && !held {
			continue
		}
		kept := list[:0]
		for _, s := range list {
			if !held && now.Sub(s.BegunAt) < youngAge+answerInterval {
				kept = append(kept, s)
				continue
			}
			if s.Young != 0 || s.Settled != 0 {
				due = append(due, a.next(s))
			}
		}
		if a.untold[segment] = kept; len(kept) == 0 {
			delete(a.untold, segment)
		}
	}
	return due
}

// next returns the report with the next number of this host.
func (a *answerLog) next(s Survival) Survival {
	a.number++
	s.Origin, s.Number = a.host, a.number
	return s
}

// add keeps a report, each once, and reports whether it is new. Reports of hosts of an
// earlier version have no number; they only say that a segment was answered.
func (a *answerLog) add(s Survival) bool {
	if s.Number == 0 {
		a.known[s.Segment] = true
		return true
	}
	if s.Number <= a.received[s.Origin] {
		return false
	}
	if len(a.received) >= maxOrigins {
		clear(a.received)
	}
	a.received[s.Origin] = s.Number
	a.known[s.Segment] = true
	list := a.reports[s.Segment]
	if len(list) >= maxAnswers {
		list = append(list[:0], list[maxAnswers/2:]...)
	}
	a.reports[s.Segment] = append(list, s)
	return true
}

// of returns the reports on a segment, with those of this host that have not been told.
func (a *answerLog) of(segment Segment) []Survival {
	untold := a.untold[segment]
	if len(untold) == 0 {
		return a.reports[segment]
	}
	told := a.reports[segment]
	return append(told[:len(told):len(told)], untold...)
}

// retain drops all segments but those for which keep returns true.
func (a *answerLog) retain(keep func(Segment) bool) {
	drop := func(s Segment, _ []Survival) bool { return !keep(s) }
	maps.DeleteFunc(a.untold, drop)
	maps.DeleteFunc(a.reports, drop)
	maps.DeleteFunc(a.known, func(s Segment, _ bool) bool { return !keep(s) })
}
