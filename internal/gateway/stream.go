package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/framing"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// serveStream serves a streamed generation and retries it within the limits of
// the route.
func (req *request) serveStream(ctx context.Context) error {
	if req.service.Engine == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_engine", "the route's service generates nothing").After(busyRetryAfter)
	}
	job := &placement.Job{
		PromptTokens: req.call.PromptTokens, OutputTokens: req.call.MaxOutputTokens, Segments: req.call.Segments,
		Domain: req.gateway.opts.Domain, Exclude: req.excluded, Connected: req.connected,
	}
	out := &eventWriter{req: req}
	var lastErr error
	for {
		if err := req.checkSegments(); err != nil {
			return req.finalError(err)
		}
		if err := req.mayGoOn(lastErr); err != nil {
			return req.finalError(err)
		}
		plan, err := req.planWithinRates(ctx, job, out)
		if err != nil && noneLeft(err) && req.retryUnreachable(ctx, lastErr) {
			continue
		}
		if err != nil {
			if lastErr != nil {
				req.endReason = verdict.As(err).Code
				err = lastErr
			}
			return req.finalError(err)
		}
		err = req.generate(ctx, job, plan, out)
		if err == nil {
			return nil
		}
		out.logFailure()
		if ctx.Err() != nil || out.failed || verdict.As(err).Code == codeSegmentHeld || !req.mayRetry(err) {
			return req.finalError(err)
		}
		lastErr = err
		req.gateway.opts.Log.LogAttrs(ctx, slog.LevelInfo, "request sent again", append([]slog.Attr{slog.String(observe.FieldRequestID, req.call.ID), slog.Any(observe.FieldError, err)}, req.logAttrs...)...)
	}
}

// planWithinRates places the job. If only the rates and pauses that endpoints state leave no
// place, it waits a short time for one.
func (req *request) planWithinRates(ctx context.Context, job *placement.Job, out *eventWriter) (*placement.Plan, error) {
	until := time.Now().Add(min(maxStatedWait, req.remaining()/4))
	for {
		plan, err := req.plan(job, out)
		if err == nil || !untilStated(err) {
			return plan, err
		}
		wait, _ := req.sendWait()
		if time.Now().Add(wait).After(until) || !backing.Pause(ctx, wait) {
			return nil, err
		}
	}
}

// decodeEngine selects the decode engine of a prefilled job. If only the rates and pauses that
// the engines state leave none, it waits a short time for one: the prompt has been prefilled.
func (req *request) decodeEngine(ctx context.Context, job *placement.Job, from *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
	until := time.Now().Add(min(maxDecodeWait, req.remaining()/4))
	for {
		endpoints := req.gateway.opts.Endpoints.Service(req.service.Name)
		engine, ok := req.gateway.opts.Tracker.DecodeEngine(time.Now(), endpoints, job, req.kvCache(), from)
		wait, _ := req.sendWait()
		if ok || wait == 0 || time.Now().Add(wait).After(until) || !backing.Pause(ctx, wait) {
			return engine, ok
		}
	}
}

// plan places the job. Its error is final: nothing that a repetition could wait
// for changes before the caller has been told when to return.
func (req *request) plan(job *placement.Job, out *eventWriter) (*placement.Plan, error) {
	endpoints := req.gateway.opts.Endpoints.Service(req.service.Name)
	plan, ok := req.gateway.opts.Tracker.Plan(time.Now(), endpoints, job, req.kvCache())
	if ok && plan.Prefill != nil && !req.reserveBudget(true) {
		job.NoSplit = true // one call fits the budget, two do not
		plan, ok = req.gateway.opts.Tracker.Plan(time.Now(), endpoints, job, req.kvCache())
	}
	if !ok {
		return nil, req.noPlace()
	}
	req.setPlanAttrs(&plan)
	if out.headerWritten {
		return &plan, nil
	}
	elapsed := time.Since(req.start)
	req.predictedLate = req.route.Target > 0 && elapsed+plan.FirstEvent > req.route.Target
	if wait := req.waitLimit(); elapsed+plan.FirstEvent > wait {
		req.logAttrs = append(req.logAttrs, slog.Duration("patience_ms", wait))
		// The work queued at the engines shrinks at the pace of the clock.
		excess := elapsed + plan.FirstEvent - wait
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "too_late", "the first event would come after the caller has left").After(max(busyRetryAfter, excess))
	}
	return &plan, nil
}

// kvCache describes the KV cache of the engines of the request's service.
func (req *request) kvCache() placement.KVCache {
	engine := req.service.Engine
	return placement.KVCache{TokenBytes: engine.TokenBytes, LinkMbps: engine.LinkMbps, Capacity: engine.CapacityTokens}
}

// generate makes one attempt: it prefills the prompt on a separate engine if the
// plan says so, and relays the events.
func (req *request) generate(ctx context.Context, job *placement.Job, plan *placement.Plan, out *eventWriter) error {
	if plan.Prefill == nil {
		flight := req.gateway.opts.Tracker.Begin(time.Now(), plan.Decode, plan, job)
		dispatch := req.newDispatch(plan.Decode)
		dispatch.FetchFrom = plan.FetchFrom
		return req.runGeneration(ctx, dispatch, flight, job, out, plan.FirstEvent)
	}
	prefilled, err := req.prefill(ctx, plan, job)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		req.releaseCache(plan, prefilled)
		return verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusServiceUnavailable, "too_late", "the request ended after its prefill")
	}
	if err := req.checkSegments(); err != nil {
		req.releaseCache(plan, prefilled)
		return err
	}
	engine, ok := req.decodeEngine(ctx, job, plan.Prefill)
	if !ok {
		req.releaseCache(plan, prefilled)
		return req.noPlace()
	}
	if err := req.mayGoOn(nil); err != nil {
		req.releaseCache(plan, prefilled)
		return err
	}
	plan.Decode = engine
	flight := req.gateway.opts.Tracker.BeginDecode(time.Now(), plan.Decode, job)
	dispatch := req.newDispatch(plan.Decode)
	dispatch.CacheSource = prefilled.CacheSource
	err = req.runGeneration(ctx, dispatch, flight, job, out, 0)
	switch {
	case err == nil:
		req.gateway.opts.Tracker.CacheFetched(plan.Prefill)
	case verdict.Of(err) == verdict.NotRun:
		req.releaseCache(plan, prefilled)
		if verdict.As(err).Code == codeRejected {
			// The decode engine rejected the request only because the KV cache
			// was unavailable, so it may be tried again.
			req.gateway.opts.Tracker.CacheMissing(time.Now(), plan.Prefill)
			delete(req.excluded, plan.Decode.ID)
		}
	}
	return err
}

// waitLimit returns the time that the caller is expected to wait for the first
// event, at most until the request's deadline. Callers abandon a stream after
// the longest of abandonFloor, four latency targets and eight event gaps.
func (req *request) waitLimit() time.Duration {
	limit := max(abandonFloor, abandonTargets*req.route.Target, abandonGaps*req.route.TargetGap)
	return min(limit, req.deadline.Sub(req.start))
}

// maxPrefills is the number of separate prefills after which a request is planned
// with prefill and decode on one engine.
const maxPrefills = 2

const (
	// Floor and factors of the wait limit; see waitLimit.
	abandonFloor   = 2 * time.Second
	abandonTargets = 4
	abandonGaps    = 8
)

// setPlanAttrs replaces the log attributes by those of the plan.
func (req *request) setPlanAttrs(plan *placement.Plan) {
	req.logAttrs = append(req.logAttrs[:0],
		slog.String(observe.FieldEndpoint, plan.Decode.ID), slog.Duration("predicted_ms", plan.FirstEvent), slog.Int("read_tokens", plan.PrefillTokens), slog.Int("rank", req.rank()))
	if plan.Prefill != nil {
		req.logAttrs = append(req.logAttrs, slog.String("prefill", plan.Prefill.ID))
	}
	if plan.FetchFrom != "" {
		req.logAttrs = append(req.logAttrs, slog.String("fetch", plan.FetchFrom))
	}
}

const (
	// A prefill times out after prefillFloor plus prefillFactor times the
	// predicted time to the first event. By then its response is more likely
	// lost than late, and another engine can still prefill the prompt in time.
	prefillFloor  = 600 * time.Millisecond
	prefillFactor = 2
)

// prefill prefills the prompt at the plan's prefill engine.
func (req *request) prefill(ctx context.Context, plan *placement.Plan, job *placement.Job) (Prefilled, error) {
	req.prefills++
	job.NoSplit = req.prefills >= maxPrefills
	flight := req.gateway.opts.Tracker.Begin(time.Now(), plan.Prefill, plan, job)
	dispatch := req.newDispatch(plan.Prefill)
	dispatch.PrefillOnly, dispatch.FetchFrom = true, plan.FetchFrom
	dispatch.NonRepeatable = false // a prefill runs nothing
	start := time.Now()
	prefillCtx, cancel := context.WithTimeout(ctx, prefillFloor+time.Duration(prefillFactor*float64(plan.FirstEvent)))
	defer cancel()
	defer dispatch.Answer.Release()
	prefilled, err := req.gateway.opts.Sender.Prefill(prefillCtx, req.call, dispatch)
	if err != nil {
		failure := prefillFailure(err)
		req.countOversized(failure, partPrefill)
		req.countPrefill(!prefillNotSent(err), failure.Code == codePrefillRejected)
		req.gateway.opts.Metrics.Sends.Add(failure.Code, 1)
		req.excluded[plan.Prefill.ID] = true
		if ctx.Err() == nil && engineLost(failure) {
			req.recordLoss(ctx, plan.Prefill, job, time.Time{}, start)
		}
		if ctx.Err() == nil && engineUnreachable(failure) {
			req.recordUnreachable(ctx, plan.Prefill)
		}
		switch {
		case ctx.Err() != nil:
			flight.Done()
		case failure.Code == codePrefillRejected:
			flight.Rejected(time.Now())
		default:
			endFailed(flight, failure)
		}
		return Prefilled{}, failure
	}
	req.countPrefill(true, false)
	req.gateway.opts.Metrics.Sends.Add("prefilled", 1)
	flight.PrefillDone(time.Now())
	flight.Done()
	req.logAttrs = append(req.logAttrs, slog.Duration("prefill_ms", time.Since(start)))
	return prefilled, nil
}

// countPrefill counts a prefill for the retry budget. arrived reports whether it may
// have reached the engine, rejected whether the engine rejected it.
func (req *request) countPrefill(arrived, rejected bool) {
	if !arrived {
		return
	}
	req.budget.arrivals++
	if !rejected {
		req.budget.exempt = 1
	}
}

// releaseTimeout bounds the request that frees a KV cache. A cache that is not
// freed expires at the engine.
const releaseTimeout = time.Second

// releaseCache frees a KV cache that no decode engine will fetch. It does not
// block the request.
func (req *request) releaseCache(plan *placement.Plan, prefilled Prefilled) {
	gateway, engine := req.gateway, plan.Prefill
	if gateway.opts.Tracker.Paused(time.Now(), engine) > 0 || gateway.opts.Endpoints.Evacuated(engine) {
		return // the cache expires
	}
	gateway.opts.Tracker.Called(time.Now(), engine)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := gateway.opts.Sender.Release(ctx, engine, prefilled); err != nil {
			gateway.opts.Log.Info("prefilled cache was not freed", observe.FieldEndpoint, engine.ID, observe.FieldError, err)
		}
	}()
}

// stallLimit returns how long a resumable stream may make no progress before it is
// resumed at another engine, or 0 if it may not be. predicted is the predicted time
// to the first event. The caller waits about twice as long as the limit, so that the
// other engine's events still reach it.
func (req *request) stallLimit(predicted time.Duration) time.Duration {
	if !req.repeatable() || req.possibleRuns+1 >= req.route.Attempts {
		return 0
	}
	return max(req.waitLimit()/2, prefillFloor+time.Duration(prefillFactor*float64(predicted)))
}

// runGeneration sends the generation request and relays its events. An attempt that
// stalls is canceled, if the stream can be resumed elsewhere. predicted is the
// predicted time to the first event.
func (req *request) runGeneration(ctx context.Context, dispatch *Dispatch, flight *placement.Flight, job *placement.Job, out *eventWriter, predicted time.Duration) error {
	out.begun, out.lastAt, out.eventAt = time.Time{}, time.Now(), time.Time{}
	out.began = func() {
		req.gateway.opts.Suspects.Began(out.begun, dispatch.Endpoint.Key(), req.service.Name, job.SharedSegments())
	}
	out.lasted = func() { req.recordAnswered(dispatch.Endpoint, job, out.begun) }
	err := req.attemptGeneration(ctx, dispatch, flight, job, out, predicted)
	out.silent = time.Since(out.lastAt)
	switch {
	case err == nil:
		if out.lasted != nil {
			req.recordAnswered(dispatch.Endpoint, job, out.begun)
		}
	case ctx.Err() != nil || out.failed:
		req.recordLeft(dispatch.Endpoint, job, out.begun, out.lastAt)
	case engineLost(err):
		lastAt := time.Time{}
		if time.Since(out.lastAt) >= silentTime {
			lastAt = out.lastAt
		}
		req.recordLoss(ctx, dispatch.Endpoint, job, out.begun, lastAt)
	case engineUnreachable(err):
		req.recordUnreachable(ctx, dispatch.Endpoint)
	case verdict.As(err).Code == codeMoved:
		req.gateway.opts.Suspects.Crashed(time.Now(), dispatch.Endpoint.Key())
	}
	return err
}

// attemptGeneration is runGeneration without what follows the loss of the engine.
func (req *request) attemptGeneration(ctx context.Context, dispatch *Dispatch, flight *placement.Flight, job *placement.Job, out *eventWriter, predicted time.Duration) error {
	defer dispatch.Answer.Release()
	dispatch.LastEventID = out.lastID
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit := req.stallLimit(predicted); limit > 0 {
		out.stall = newStallWatch(limit, req.newResumption(dispatch, job, limit).reserve, func() { cancel(errStalled) })
		defer func() {
			if out.stall.stop() {
				req.budget.charged++
				req.resumes = true
			}
			out.stall = nil
		}()
	}
	reply, err := req.send(attemptCtx, dispatch)
	if err != nil {
		err = stalledError(attemptCtx, err)
		switch {
		case ctx.Err() != nil || dispatch.CacheSource != "" && verdict.As(err).Code == codeRejected:
			flight.Done()
		case verdict.As(err).Code == codeRejected:
			flight.Rejected(time.Now())
		default:
			endFailed(flight, err)
		}
		return err
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		if out.headerWritten || reply.Status >= http.StatusInternalServerError && req.repeatable() && req.possibleRuns < req.route.Attempts {
			flight.Done()
			return verdict.New(verdict.Ran, http.StatusBadGateway, "endpoint_failed", "the endpoint failed the request")
		}
		err := req.relayBuffered(reply, dispatch.Answer, false)
		if err != nil && ctx.Err() == nil && !errors.Is(err, errCallerGone) {
			flight.Failed(time.Now())
			return err
		}
		flight.Done()
		return err
	}
	if !reply.Authentic {
		flight.Failed(time.Now())
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_foreign", "the answer does not bear the endpoint's signature")
	}
	err = stalledError(attemptCtx, out.relay(reply, dispatch.Answer, flight))
	if err != nil && ctx.Err() == nil {
		endFailed(flight, err)
		return err
	}
	flight.Done()
	return err
}

// codeStalled is the code of an attempt that made no progress in time.
const codeStalled = "engine_stalled"

// stalledError returns the error of an attempt that ended because it stalled, and err
// of any other.
func stalledError(attempt context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(attempt), errStalled) || verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout, codeStalled, "the engine made no progress in time")
}

// eventWriter relays the events of one stream, which may come from several
// attempts.
type eventWriter struct {
	req *request
	// headerWritten is set once the response header has been written.
	headerWritten bool
	// failed is set when a write to the caller failed.
	failed bool
	// lastID is the ID of the last event written; empty for none.
	lastID string
	// begun is when the first bytes of the current attempt's answer came; zero if none
	// did.
	begun time.Time
	// lastAt is when the last bytes of the current attempt came, or when it began.
	lastAt time.Time
	// eventAt is when the last events came, and longestGap the longest time between events of
	// one attempt.
	eventAt    time.Time
	longestGap time.Duration
	// silent is the time from lastAt to the end of the last attempt that was sent.
	silent time.Duration
	// began is called when the current attempt's answer begins.
	began func()
	// lasted is called once the current attempt's answer has lasted for a while; nil
	// after that.
	lasted func()
	// stall ends the current attempt when it makes no progress; nil for no watch.
	stall *stallWatch
}

// logFailure adds to the request's log attributes how far the stream was when an attempt
// failed.
func (w *eventWriter) logFailure() {
	w.req.logAttrs = append(w.req.logAttrs, slog.String("after_event", w.lastID), slog.Duration("silent_ms", w.silent),
		slog.Duration("delay_ms", w.req.gateway.opts.SchedulingDelay()))
}

// lastingAnswer is how long an answer lasts before its engine counts as having answered
// the request so far.
const lastingAnswer = 250 * time.Millisecond

// maxEventBytes is the largest event that is relayed.
const maxEventBytes = 256 << 10

// relay writes complete events as they arrive. An event that is cut off when an
// attempt fails is not written.
func (w *eventWriter) relay(reply *Reply, answer *bodybudget.Reservation, flight *placement.Flight) error {
	events := framing.NewEvents(maxEventBytes, answer.Grow)
	ending := framing.Ending{Framing: reply.Framing}
	resumed := w.lastID != "" || w.req.call.LastEventID != ""
	relayed := 0
	for ending.Err == nil {
		var n int
		n, ending.Err = events.Fill(reply.Body)
		if n > 0 && ending.Bytes == 0 {
			w.begun = time.Now()
			w.began()
			flight.PrefillDone(w.begun)
			w.req.recordUsage()
		}
		ending.Bytes += int64(n)
		if n > 0 {
			w.lastAt = time.Now()
			if w.lasted != nil && w.lastAt.Sub(w.begun) > lastingAnswer {
				w.lasted()
				w.lasted = nil
			}
		}
		// Only complete events are progress: an engine may send bytes now and then
		// without completing one, or comments without end.
		progress := events.Count() > relayed
		relayed = events.Count()
		if progress {
			w.countGap(w.lastAt)
		}
		if len(events.Complete()) > 0 {
			if progress {
				w.stall.pause()
			}
			if err := w.write(reply, events); err != nil {
				return err
			}
			if progress {
				w.stall.progress()
			}
		}
	}
	w.req.logAttrs = append(w.req.logAttrs, slog.Duration("longest_gap_ms", w.longestGap), slog.String("answer_framing", reply.Framing.String()), slog.Int("incomplete_event_bytes", events.Incomplete()))
	if err := ending.Stream(events, resumed); err != nil {
		return w.req.truncated(reply, partEvent, err)
	}
	if !w.headerWritten {
		return w.write(reply, events) // the caller had received all events
	}
	return nil
}

// countGap counts the time since the last events of the attempt.
func (w *eventWriter) countGap(now time.Time) {
	if !w.eventAt.IsZero() {
		w.longestGap = max(w.longestGap, now.Sub(w.eventAt))
	}
	w.eventAt = now
}

// write sends the complete events to the caller, after the response header if it has
// not been written yet.
func (w *eventWriter) write(reply *Reply, events *framing.Events) error {
	if !w.headerWritten {
		w.headerWritten = true
		w.req.firstLatency = time.Since(w.req.start)
		w.req.gateway.opts.Metrics.FirstEventLatency.Record(w.req.firstLatency)
		w.req.writeHeader(reply, -1)
	}
	if id, ok := events.LastID(); ok {
		w.lastID = id
	}
	if _, err := w.req.writer.Write(events.Complete()); err != nil {
		w.failed = true
		return writeError(err)
	}
	events.Take()
	if err := http.NewResponseController(w.req.writer).Flush(); err != nil {
		w.failed = true
		return writeError(err)
	}
	return nil
}
