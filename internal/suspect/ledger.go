package suspect

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/updatelog"
)

const (
	// maxReports bounds the reports of crashes and orders that are retained, and
	// maxSurvivals the survivals.
	maxReports   = 256
	maxSurvivals = 1024
	// maxRequests bounds the requests in one report of a crash, and maxSegments the
	// segments of a request that are considered.
	maxRequests = 32
	maxSegments = 32
	// maxLost bounds the engines that were lost and may have crashed.
	maxLost = 256
	// lostTTL is the time within which the loss of an engine is confirmed as a crash.
	lostTTL = 10 * time.Second
	// survivalInterval is the least time between survivals of one segment that the
	// fleet is told of.
	survivalInterval = 500 * time.Millisecond
	// trialTime is how long a trial may take before another one may begin.
	trialTime = 15 * time.Second
)

// Metrics counts what the ledger concludes and does.
type Metrics struct {
	// Events counts crashes reported, segments held and cleared, requests refused and
	// tried, and retries withheld.
	Events *observe.LabelledCounter
}

// NewMetrics returns metrics in the registry.
func NewMetrics(r *observe.Registry) *Metrics {
	return &Metrics{Events: r.NewLabelledCounter("suspect_events", 16)}
}

// Ledger holds the evidence of all hosts on segments that may crash engines, and the
// verdicts that follow from it. It is safe for concurrent use.
type Ledger struct {
	host    string
	metrics *Metrics
	log     *slog.Logger
	// verdicts holds the segments that are held back; nil for none.
	verdicts atomic.Pointer[map[Segment]Verdict]

	mu        sync.Mutex // guards the fields below
	survivors *survivors
	answers   *answerCounter
	reports   *updatelog.Relay[Report]
	survivals *updatelog.Relay[Survival]
	// crashes and orders hold what the reports say, crashes by host and engine.
	crashes []Crash
	orders  map[Segment]Order
	// answered holds when the last answer with each suspect segment began, as far as
	// any host reported; toldAt is when the fleet was last told. Suspect segments are
	// those of the crashes.
	answered map[Segment]time.Time
	toldAt   map[Segment]time.Time
	suspects map[Segment]bool
	// lost holds the engines that were lost under requests of this host.
	lost map[endpoint.Key]*lostEngine
	// trials holds when the last trial of a segment began.
	trials map[Segment]time.Time
}

// Report is a crash or an order; one of the two is set.
type Report struct {
	Crash *Crash
	Order *Order
}

// lostEngine is an engine that was lost under requests.
type lostEngine struct {
	service string
	lostAt  time.Time
	// requests holds the requests that have not been reported.
	requests [][]uint64
	// crashed reports whether the engine has crashed, reports the number of reports.
	crashed bool
	reports int
}

// NewLedger returns a ledger without evidence. host is the incarnation of the host.
func NewLedger(now time.Time, host string, metrics *Metrics, log *slog.Logger) *Ledger {
	return &Ledger{
		host: host, metrics: metrics, log: log, survivors: newSurvivors(now), answers: newAnswerCounter(now),
		reports: updatelog.NewRelay[Report](maxReports), survivals: updatelog.NewRelay[Survival](maxSurvivals),
		orders: make(map[Segment]Order), answered: make(map[Segment]time.Time), toldAt: make(map[Segment]time.Time),
		suspects: make(map[Segment]bool), lost: make(map[endpoint.Key]*lostEngine), trials: make(map[Segment]time.Time),
	}
}

// Check returns the verdict that holds a request with the segments back; false if it may
// be sent. A host that may try sends one request of the fleet once the time is up.
func (l *Ledger) Check(now time.Time, service string, hashes []uint64, mayTry bool) (Verdict, bool) {
	held := l.verdicts.Load()
	if held == nil {
		return Verdict{}, false
	}
	for _, hash := range hashes {
		v, ok := (*held)[Segment{service, hash}]
		if !ok || mayTry && l.beginTrial(now, v) {
			continue
		}
		l.metrics.Events.Add("refused", 1)
		return v, true
	}
	return Verdict{}, false
}

// beginTrial reports whether a request with a segment that is held back may be tried.
func (l *Ledger) beginTrial(now time.Time, v Verdict) bool {
	if v.Ordered || now.Before(v.Until()) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if begun, ok := l.trials[v.Segment]; ok && now.Sub(begun) < trialTime {
		return false
	}
	l.trials[v.Segment] = now
	l.metrics.Events.Add("tried", 1)
	l.logVerdict(now, "segment tried again", v)
	return true
}

// Lost records that an engine was lost under a request. begun is when its answer began;
// zero if it had not. A request that has been answered for a while survived its
// beginning.
func (l *Ledger) Lost(now time.Time, engine endpoint.Key, service string, hashes []uint64, begun time.Time) {
	if len(hashes) == 0 {
		return
	}
	if !begun.IsZero() && now.Sub(begun) > beginning {
		l.Answered(now, engine, service, hashes, begun)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.lost[engine]
	if e == nil || now.Sub(e.lostAt) > lostTTL {
		l.expireLost(now)
		if len(l.lost) >= maxLost {
			return
		}
		e = &lostEngine{service: service, lostAt: now}
		l.lost[engine] = e
	}
	if len(e.requests) < maxRequests {
		e.requests = append(e.requests, hashes[:min(len(hashes), maxSegments)])
	}
	if e.crashed {
		l.report(now, engine, e)
	}
}

// expireLost drops the losses that are old. The caller holds mu.
func (l *Ledger) expireLost(now time.Time) {
	maps.DeleteFunc(l.lost, func(_ endpoint.Key, e *lostEngine) bool { return now.Sub(e.lostAt) > lostTTL })
}

// Crashed records that an engine has crashed, and reports to the fleet which requests it
// had, if it was lost under any. It returns whether it reported anything.
func (l *Ledger) Crashed(now time.Time, engine endpoint.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.lost[engine]
	if e == nil || e.crashed || now.Sub(e.lostAt) > lostTTL {
		return false
	}
	e.crashed = true
	l.metrics.Events.Add("crash", 1)
	l.log.Info("engine crashed under requests", observe.FieldEndpoint, engine.ID, "started_at_ms", engine.StartedAtMS, "requests", len(e.requests))
	l.report(now, engine, e)
	return true
}

// report tells the fleet of the requests that a crashed engine had and that have not been
// reported. The caller holds mu.
func (l *Ledger) report(now time.Time, engine endpoint.Key, e *lostEngine) {
	crash := Crash{Origin: l.host, Number: e.reports, Engine: engine, Service: e.service, At: e.lostAt, Requests: e.requests}
	e.requests, e.reports = nil, e.reports+1
	l.reports.Append(Report{Crash: &crash})
	l.addCrash(now, crash)
	l.judge(now)
}

// Answered records that an engine began an answer with the segments at the given time and
// did not crash.
func (l *Ledger) Answered(now time.Time, engine endpoint.Key, service string, hashes []uint64, begun time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers.add(now, service)
	if e := l.lost[engine]; e != nil && !e.crashed && begun.After(e.lostAt) {
		delete(l.lost, engine) // only a connection to it was lost
	}
	for _, hash := range hashes {
		segment := Segment{service, hash}
		l.survivors.add(now, segment, begun)
		if l.suspects[segment] {
			l.tell(now, segment, begun)
		}
	}
}

// tell tells the fleet of an answer with a suspect segment, unless it was told of one a
// moment ago. The caller holds mu.
func (l *Ledger) tell(now time.Time, segment Segment, begun time.Time) {
	if !begun.After(l.answered[segment]) || now.Sub(l.toldAt[segment]) < survivalInterval && !l.isHeld(segment) {
		return
	}
	l.survivals.Append(Survival{segment, begun})
	l.addSurvival(now, segment, begun)
}

// addSurvival keeps the latest answer with a segment. The caller holds mu.
func (l *Ledger) addSurvival(now time.Time, segment Segment, begun time.Time) {
	if !begun.After(l.answered[segment]) {
		return
	}
	l.answered[segment], l.toldAt[segment] = begun, now
	if l.isHeld(segment) {
		l.judge(now)
	}
}

// isHeld reports whether the segment is held back.
func (l *Ledger) isHeld(segment Segment) bool {
	held := l.verdicts.Load()
	if held == nil {
		return false
	}
	_, ok := (*held)[segment]
	return ok
}

// Known reports whether each of the segments has been answered by an engine. Only then is
// it unlikely that a request with them has crashed the engine that it was on.
func (l *Ledger) Known(service string, hashes []uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hash := range hashes {
		if _, ok := l.lastAnswered(Segment{service, hash}); !ok {
			return false
		}
	}
	return true
}

// lastAnswered returns when the last answer with the segment began, as far as this host
// knows. The caller holds mu.
func (l *Ledger) lastAnswered(segment Segment) (time.Time, bool) {
	own, ok := l.survivors.answered(segment)
	if reported, told := l.answered[segment]; told && (!ok || reported.After(own)) {
		return reported, true
	}
	return own, ok
}

// Order records an operator's decision about a segment and tells the fleet.
func (l *Ledger) Order(now time.Time, segment Segment, hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := Order{Segment: segment, Hold: hold, At: now}
	l.log.Info("operator decided about a segment", "service", segment.Service, "segment", segment.String(), "hold", hold)
	l.reports.Append(Report{Order: &order})
	l.addOrder(order)
	l.judge(now)
}

// String returns the segment's hash as callers write it.
func (s Segment) String() string { return strconv.FormatUint(s.Hash, 16) }

// addOrder keeps the latest order about each segment. The caller holds mu.
func (l *Ledger) addOrder(order Order) {
	if known, ok := l.orders[order.Segment]; !ok || order.At.After(known.At) {
		l.orders[order.Segment] = order
	}
}

// addCrash keeps a report of a crash, once from each host, and tells the fleet which of
// its segments this host knows to be answered. The caller holds mu.
func (l *Ledger) addCrash(now time.Time, crash Crash) {
	if slices.ContainsFunc(l.crashes, func(c Crash) bool {
		return c.Engine == crash.Engine && c.Origin == crash.Origin && c.Number == crash.Number
	}) {
		return
	}
	if len(l.crashes) >= maxReports {
		l.crashes = slices.Delete(l.crashes, 0, maxReports/2)
	}
	l.crashes = append(l.crashes, crash)
	for _, request := range crash.Requests {
		for _, hash := range request {
			segment := Segment{crash.Service, hash}
			l.suspects[segment] = true
			if begun, ok := l.survivors.answered(segment); ok {
				l.tell(now, segment, begun)
			}
		}
	}
}

// Judge brings the verdicts up to date with the time.
func (l *Ledger) Judge(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judge(now)
}

// judge drops old evidence and replaces the verdicts. The caller holds mu.
func (l *Ledger) judge(now time.Time) {
	l.dropOld(now)
	verdicts := judge(evidence{
		crashes:  mergeReports(l.crashes),
		answered: l.lastAnswered, others: l.answers.since,
	})
	for segment, order := range l.orders {
		if verdicts == nil {
			verdicts = make(map[Segment]Verdict)
		}
		v := verdicts[segment]
		switch {
		case order.Hold:
			v.Segment, v.Ordered, v.LastCrash = segment, true, order.At
			verdicts[segment] = v
		case !v.LastCrash.After(order.At):
			delete(verdicts, segment)
		}
	}
	before := l.verdicts.Load()
	if len(verdicts) == 0 {
		l.verdicts.Store(nil)
	} else {
		l.verdicts.Store(&verdicts)
	}
	l.logChanges(now, before, verdicts)
}

// dropOld drops evidence that no longer counts. The caller holds mu.
func (l *Ledger) dropOld(now time.Time) {
	count := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceTTL })
	maps.DeleteFunc(l.orders, func(_ Segment, o Order) bool { return now.Sub(o.At) > evidenceTTL })
	maps.DeleteFunc(l.trials, func(_ Segment, at time.Time) bool { return now.Sub(at) > trialTime })
	l.expireLost(now)
	if len(l.crashes) == count {
		return
	}
	clear(l.suspects)
	for _, crash := range l.crashes {
		for _, request := range crash.Requests {
			for _, hash := range request {
				l.suspects[Segment{crash.Service, hash}] = true
			}
		}
	}
	unsuspected := func(s Segment, _ time.Time) bool { return !l.suspects[s] }
	maps.DeleteFunc(l.answered, unsuspected)
	maps.DeleteFunc(l.toldAt, unsuspected)
}

// logChanges logs the verdicts that are new and those that ended.
func (l *Ledger) logChanges(now time.Time, before *map[Segment]Verdict, verdicts map[Segment]Verdict) {
	for segment, v := range verdicts {
		if before == nil || (*before)[segment].Segment != segment {
			l.metrics.Events.Add("held", 1)
			l.logVerdict(now, "segment held back", v)
		}
	}
	if before == nil {
		return
	}
	for segment, v := range *before {
		if _, ok := verdicts[segment]; !ok {
			l.metrics.Events.Add("cleared", 1)
			l.logVerdict(now, "segment cleared", v)
		}
	}
}

func (l *Ledger) logVerdict(now time.Time, message string, v Verdict) {
	l.log.Info(message, append([]any{"service", v.Segment.Service}, v.LogAttrs(now)...)...)
}

// LogAttrs returns the verdict's evidence and its age for a log line.
func (v Verdict) LogAttrs(now time.Time) []any {
	attrs := []any{slog.String("segment", v.Segment.String()), slog.Int("crashes", v.Crashes), slog.Int("crash_requests", v.Requests), slog.Duration("last_crash_age_ms", now.Sub(v.LastCrash)), slog.Duration("hold_ms", v.Until().Sub(now))}
	if v.Ordered {
		attrs = append(attrs, slog.Bool("by_operator", true))
	}
	return attrs
}

// RetryWithheld counts a request that is not sent to another engine because it may have
// crashed one.
func (l *Ledger) RetryWithheld() { l.metrics.Events.Add("retry_withheld", 1) }

// Empty reports whether this host has no evidence to tell of.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes) == 0 && len(l.orders) == 0
}

// Held returns the verdicts in force, by segment.
func (l *Ledger) Held() []Verdict {
	held := l.verdicts.Load()
	if held == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(*held), func(a, b Verdict) int { return a.LastCrash.Compare(b.LastCrash) })
}
