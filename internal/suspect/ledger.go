package suspect

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
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
	// maxReports bounds the reports of crashes and orders that are retained: a crash has
	// one of each host that had requests on the engine, some dozens in a fleet of hundreds
	// of hosts. maxSurvivals bounds the survivals.
	maxReports   = 2048
	maxSurvivals = 1024
	// maxRequests bounds the requests in one report of a crash, and maxSegments the
	// segments of a request that are considered.
	maxRequests = 32
	maxSegments = 32
	// lostTTL is the time within which the loss of an engine is confirmed as a crash.
	lostTTL = 10 * time.Second
	// trialTime is how long a trial may take before another one may begin. After an
	// answered one the next may begin at once.
	trialTime = 15 * time.Second
)

// Metrics counts what the ledger concludes and does.
type Metrics struct {
	// Events counts crashes reported, those without a request that may be the cause,
	// segments held and cleared, requests refused and tried, and retries withheld.
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
	// verdicts holds the segments that are held back, suspected those that are not and
	// yet are suspect; nil for none.
	verdicts, suspected atomic.Pointer[map[Segment]Verdict]

	mu        sync.Mutex // guards the fields below
	survivors *survivors
	reports   *updatelog.Relay[Report]
	survivals *updatelog.Relay[Survival]
	// crashes and orders hold what the reports say, crashes by host and engine.
	crashes []Crash
	orders  map[Segment]Order
	// suspects holds the number of reports of crashes with each segment.
	suspects map[Segment]int
	answers  *answerLog
	// engines holds what this host knows of the engines that it uses. pendingYoung and
	// pendingSettled hold the requests that wait for these ages, about in this order.
	engines                      map[endpoint.Key]*engineRecord
	pendingYoung, pendingSettled []pendingExposure
	maturedAt                    time.Time
	// trials holds when the last trial of a segment began.
	trials map[Segment]time.Time
	// changed reports whether evidence against segments came or went since the last review.
	changed bool
	// version counts the changes of evidence against segments and of verdicts.
	version int64
}

// Report is a crash or an order; one of the two is set.
type Report struct {
	Crash *Crash
	Order *Order
}

// NewLedger returns a ledger without evidence. host is the incarnation of the host.
func NewLedger(now time.Time, host string, metrics *Metrics, log *slog.Logger) *Ledger {
	return &Ledger{
		host: host, metrics: metrics, log: log, survivors: newSurvivors(now), answers: newAnswerLog(host),
		reports: updatelog.NewRelay[Report](maxReports), survivals: updatelog.NewRelay[Survival](maxSurvivals),
		orders: make(map[Segment]Order), suspects: make(map[Segment]int), engines: make(map[endpoint.Key]*engineRecord),
		trials: make(map[Segment]time.Time),
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

// Holds reports whether a request with the segments is held back, and counts none.
func (l *Ledger) Holds(service string, hashes []uint64) bool {
	return slices.ContainsFunc(hashes, func(hash uint64) bool { return l.isHeld(Segment{service, hash}) })
}

// beginTrial reports whether a request with a segment that is held back may be tried.
func (l *Ledger) beginTrial(now time.Time, v Verdict) bool {
	if v.Ordered || now.Before(v.Until()) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := trialTime
	if v.AnsweredSince > 0 {
		wait = settledAge
	}
	if begun, ok := l.trials[v.Segment]; ok && now.Sub(begun) < wait {
		return false
	}
	l.trials[v.Segment] = now
	l.metrics.Events.Add("tried", 1)
	l.logVerdict(now, "segment tried again", v)
	return true
}

// Lost records that an engine was lost under a request: its connection broke off, or
// nothing has come from it since the given time. begun is when its answer began; zero if
// it had not.
func (l *Ledger) Lost(at time.Time, engine endpoint.Key, service string, hashes []uint64, begun time.Time) {
	if len(hashes) == 0 {
		return
	}
	if begun.IsZero() {
		begun = at
	}
	if at.Sub(begun) > settledAge {
		l.Answered(at, engine, service, hashes, begun)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(at, engine, service)
	if r == nil {
		return
	}
	if !r.crashed && (r.lostAt.IsZero() || at.Before(r.lostAt) || at.Sub(r.lostAt) > lostTTL) {
		r.lostAt = at
	}
	hashes = hashes[:min(len(hashes), maxSegments)]
	if e := r.find(begun, hashes); e != nil {
		e.unfinished = true // it was recorded when its answer began
	} else {
		l.expose(r, &exposure{segments: hashes, begunAt: begun, unfinished: true})
	}
	if r.crashed {
		l.report(at, r)
	}
}

// Began records that an engine begins an answer with the segments.
func (l *Ledger) Began(now time.Time, engine endpoint.Key, service string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, engine, service)
	if r == nil || r.crashed {
		return
	}
	if now.After(r.aliveAt) {
		r.aliveAt = now
	}
	l.expose(r, &exposure{segments: hashes[:min(len(hashes), maxSegments)], begunAt: now})
}

// Left records that the caller of a request has left before its answer began. The request
// may still crash the engine.
func (l *Ledger) Left(now time.Time, engine endpoint.Key, service string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.record(now, engine, service); r != nil {
		l.expose(r, &exposure{segments: hashes[:min(len(hashes), maxSegments)], begunAt: now, unfinished: true})
	}
}

// Crashed records that an engine that was lost has crashed, and reports to the fleet which
// requests it had. It returns whether it reported anything.
func (l *Ledger) Crashed(now time.Time, engine endpoint.Key) bool {
	return l.crashed(now, engine, false)
}

// Refused records that an engine's process does not run, though it was not asked to end.
// It returns whether it reported anything.
func (l *Ledger) Refused(now time.Time, engine endpoint.Key) bool {
	return l.crashed(now, engine, true)
}

func (l *Ledger) crashed(now time.Time, engine endpoint.Key, certain bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.engines[engine]
	if r == nil || r.crashed || !certain && !r.isLost(now) {
		return false
	}
	r.crashed, r.crashedAt = true, now
	if r.isLost(now) {
		r.crashedAt = r.lostAt
	}
	return l.report(now, r)
}

// Watches reports whether requests of this host may have crashed the engine, if it has
// crashed.
func (l *Ledger) Watches(engine endpoint.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.engines[engine]
	return r != nil && !r.crashed && len(r.exposures) > 0
}

// report tells the fleet of the requests that a crashed engine had and that have not been
// reported. It returns whether there were any. The caller holds mu.
func (l *Ledger) report(now time.Time, r *engineRecord) bool {
	requests := l.suspectsAt(now, r.crashedAt, r)
	if len(requests) == 0 {
		if r.reports == 0 {
			l.metrics.Events.Add("crash_without_suspects", 1)
			l.log.Info("engine crashed without requests that may be the cause", observe.FieldEndpoint, r.key.ID, "started_at_ms", r.key.StartedAtMS)
		}
		return false
	}
	if r.reports == 0 {
		l.metrics.Events.Add("crash", 1)
	}
	ended := 0
	for _, q := range requests {
		if q.Age > 0 {
			ended++
		}
	}
	l.log.Info("engine crashed under requests", observe.FieldEndpoint, r.key.ID, "started_at_ms", r.key.StartedAtMS, "requests", len(requests), "begun", ended)
	slices.SortStableFunc(requests, func(a, b CrashRequest) int { return cmp.Compare(a.Age, b.Age) })
	for chunk := range slices.Chunk(requests, maxRequests) {
		crash := Crash{Origin: l.host, Number: r.reports, Engine: r.key, Service: r.service, At: r.crashedAt, Requests: chunk}
		r.reports++
		l.reports.Append(Report{Crash: &crash})
		l.addCrash(now, crash)
	}
	l.judge(now)
	return true
}

// Answered records that an engine began an answer with the segments at the given time and
// has not crashed under it so far. Its segments are answered once it has not crashed for a
// while after that.
func (l *Ledger) Answered(now time.Time, engine endpoint.Key, service string, hashes []uint64, begun time.Time) {
	if len(hashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, engine, service)
	if r == nil {
		return
	}
	if !r.crashed && !r.lostAt.IsZero() && begun.After(r.lostAt) {
		r.lostAt = time.Time{} // only a connection to it was lost
		r.exposures = slices.DeleteFunc(r.exposures, func(e *exposure) bool { return e.unfinished })
	}
	if now.After(r.aliveAt) {
		r.aliveAt = now
	}
	hashes = hashes[:min(len(hashes), maxSegments)]
	if e := r.find(begun, hashes); e != nil {
		e.answered = true
	} else {
		l.expose(r, &exposure{segments: hashes, begunAt: begun, answered: true})
	}
	if r.crashed {
		l.report(now, r) // it was answered shortly before the crash
		return
	}
	l.mature(now)
	l.flush(now)
}

// Known reports whether each of the segments has been answered by an engine that did not
// crash soon after, and none of them is suspect. Only then is it unlikely that a request
// with them has crashed the engine that it was on.
func (l *Ledger) Known(service string, hashes []uint64) bool {
	suspected := l.suspected.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hash := range hashes {
		segment := Segment{service, hash}
		if suspected != nil {
			if _, ok := (*suspected)[segment]; ok {
				return false
			}
		}
		if !l.answered(segment) {
			return false
		}
	}
	return true
}

// answered reports whether this host knows that the segment was answered. The caller holds
// mu.
func (l *Ledger) answered(segment Segment) bool {
	if l.answers.known[segment] {
		return true
	}
	_, ok := l.survivors.answered(segment)
	return ok
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
		l.changed = true
		l.version++
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
		l.countSuspects()
	}
	l.crashes = append(l.crashes, crash)
	l.changed = true
	l.version++
	for _, segment := range crash.segments() {
		l.suspects[segment]++
		if begun, ok := l.survivors.answered(segment); ok && !l.answers.known[segment] {
			l.addSurvival(l.answers.next(Survival{Segment: segment, BegunAt: begun}))
		}
	}
	if crash.Origin == l.host {
		return
	}
	// This host may have had requests on the engine that it does not know to be lost.
	if r := l.engines[crash.Engine]; r != nil && !r.crashed && len(r.exposures) > 0 {
		r.crashed, r.crashedAt = true, crash.At
		l.report(now, r)
	}
}

// segments returns the segments of the requests, each once.
func (c *Crash) segments() []Segment {
	seen := make(map[Segment]bool)
	var segments []Segment
	for _, request := range c.Requests {
		for _, hash := range request.Segments {
			if s := (Segment{c.Service, hash}); !seen[s] {
				seen[s] = true
				segments = append(segments, s)
			}
		}
	}
	return segments
}

// countSuspects recounts the reports of each segment. The caller holds mu.
func (l *Ledger) countSuspects() {
	clear(l.suspects)
	for i := range l.crashes {
		for _, segment := range l.crashes[i].segments() {
			l.suspects[segment]++
		}
	}
	l.answers.retain(func(s Segment) bool { return l.suspects[s] > 0 })
}

// flush tells the fleet of the answers with segments that were in more than one crash.
// The caller holds mu.
func (l *Ledger) flush(now time.Time) {
	told := false
	for _, s := range l.answers.due(now, func(segment Segment) (suspect, held bool) {
		return l.suspects[segment] >= suspectCrashes, l.isHeld(segment)
	}) {
		l.addSurvival(s)
		told = told || l.isHeld(s.Segment)
	}
	if told {
		l.judge(now)
	}
}

// addSurvival tells the fleet of answers of this host. The caller holds mu.
func (l *Ledger) addSurvival(s Survival) {
	l.survivals.Append(s)
	l.answers.add(s)
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

// Judge brings the verdicts up to date with the time.
func (l *Ledger) Judge(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mature(now)
	l.flush(now)
	l.forgetEngines(now)
	l.judge(now)
}

// judge drops old evidence and replaces the verdicts. The caller holds mu.
func (l *Ledger) judge(now time.Time) {
	l.dropOld(now)
	if !l.changed && l.verdicts.Load() == nil && l.suspected.Load() == nil {
		return // answers only speak for segments
	}
	l.changed = false
	verdicts, suspected := judge(evidence{crashes: mergeReports(l.crashes), answers: l.answers.of, known: l.answered})
	for segment, order := range l.orders {
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
	store(&l.verdicts, verdicts)
	store(&l.suspected, suspected)
	l.logChanges(now, before, verdicts)
}

// store replaces verdicts; none are stored as nil.
func store(to *atomic.Pointer[map[Segment]Verdict], verdicts map[Segment]Verdict) {
	if len(verdicts) == 0 {
		to.Store(nil)
		return
	}
	to.Store(&verdicts)
}

// dropOld drops evidence that no longer counts. The caller holds mu.
func (l *Ledger) dropOld(now time.Time) {
	count, orders := len(l.crashes), len(l.orders)
	l.crashes = slices.DeleteFunc(l.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceTTL })
	maps.DeleteFunc(l.orders, func(_ Segment, o Order) bool { return now.Sub(o.At) > evidenceTTL })
	maps.DeleteFunc(l.trials, func(_ Segment, at time.Time) bool { return now.Sub(at) > evidenceTTL })
	l.changed = l.changed || len(l.crashes) != count || len(l.orders) != orders
	if len(l.crashes) != count {
		l.countSuspects()
	}
}

// logChanges logs the verdicts that are new and those that ended.
func (l *Ledger) logChanges(now time.Time, before *map[Segment]Verdict, verdicts map[Segment]Verdict) {
	for segment, v := range verdicts {
		if before == nil || (*before)[segment].Segment != segment {
			l.version++
			l.metrics.Events.Add("held", 1)
			l.logVerdict(now, "segment held back", v)
		}
	}
	if before == nil {
		return
	}
	for segment, v := range *before {
		if _, ok := verdicts[segment]; !ok {
			l.version++
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
	attrs := []any{slog.String("segment", v.Segment.String()), slog.Int("crashes", v.Crashes), slog.Int("crash_requests", v.Requests), slog.Float64("weight", math.Round(v.Weight*10)/10), slog.Float64("timing", math.Round(v.Timing*10)/10), slog.Int("answers", v.Answers), slog.Duration("last_crash_age_ms", now.Sub(v.LastCrash)), slog.Duration("hold_ms", v.Until().Sub(now))}
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
