package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// stream serves a generation.
func (q *request) stream(ctx context.Context) error {
	if q.service.Engine == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_engine", "the route's service generates nothing").After(retryBusy)
	}
	job := &placement.Job{
		Prompt: q.call.Prompt, Output: q.call.Output, Parts: q.call.Parts,
		Domain: q.g.o.Domain, Exclude: q.exclude,
	}
	out := &eventWriter{q: q}
	for {
		err := q.generate(ctx, job, out)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || out.failed || !q.again(err) {
			return q.final(err)
		}
		q.g.o.Log.LogAttrs(ctx, slog.LevelInfo, "request sent again", append([]slog.Attr{slog.String(observe.FieldRequestID, q.call.ID), slog.Any(observe.FieldError, err), slog.String("after_event", out.lastID)}, q.trace...)...)
	}
}

// generate makes one try: it places the job, has the prompt read, and relays
// the events.
func (q *request) generate(ctx context.Context, job *placement.Job, out *eventWriter) error {
	m := placement.Memory{TokenBytes: q.service.Engine.TokenBytes, LinkMbps: q.service.Engine.LinkMbps, Capacity: q.service.Engine.MemoryTokens}
	plan, ok := q.g.o.Tracker.Plan(time.Now(), q.g.o.Endpoints.Service(q.service.Name), job, m)
	if !ok {
		return errNoEndpoint()
	}
	q.tracePlan(&plan)
	q.late = q.route.Target > 0 && !out.begun && time.Since(q.begun)+plan.FirstEvent > q.route.Target
	if wait := q.patience(); !out.begun && time.Since(q.begun)+plan.FirstEvent > wait {
		q.trace = append(q.trace, slog.Duration("patience_ms", wait))
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "too_late", "the first event would come after the caller has left").After(retryBusy)
	}
	if plan.Prefill == nil {
		f := q.g.o.Tracker.Begin(time.Now(), plan.Run, &plan, job)
		d := q.dispatch(plan.Run)
		d.Fetch = plan.Fetch
		return q.run(ctx, d, f, out)
	}
	prefilled, err := q.prefill(ctx, &plan, job)
	if err != nil {
		return err
	}
	run, ok := q.g.o.Tracker.Runner(time.Now(), q.g.o.Endpoints.Service(q.service.Name), job, m, plan.Prefill)
	if !ok {
		q.release(&plan, prefilled)
		return errNoEndpoint()
	}
	plan.Run = run
	f := q.g.o.Tracker.BeginRun(time.Now(), plan.Run, job)
	d := q.dispatch(plan.Run)
	d.Source = prefilled.Source
	err = q.run(ctx, d, f, out)
	switch {
	case err == nil:
		q.g.o.Tracker.Taken(plan.Prefill)
	case verdict.Of(err) == verdict.NotRun:
		q.release(&plan, prefilled)
		if verdict.As(err).Code == codeRejected {
			// The decoding engine has room if only the cache could not be had.
			q.g.o.Tracker.Lapsed(time.Now(), plan.Prefill)
			delete(q.exclude, plan.Run.ID)
		}
		job.Whole = q.prefills >= maxPrefills
	}
	return err
}

// patience is how long the caller waits for the first event: callers abandon a
// stream after the longest of abandonFloor, four targets and eight gaps.
func (q *request) patience() time.Duration {
	wait := max(abandonFloor, abandonTargets*q.route.Target, abandonGaps*q.route.TargetGap)
	return min(wait, q.until.Sub(q.begun))
}

// maxPrefills bounds the engines that read one prompt for another to generate.
const maxPrefills = 2

const (
	abandonFloor   = 2 * time.Second
	abandonTargets = 4
	abandonGaps    = 8
)

func (q *request) tracePlan(p *placement.Plan) {
	q.trace = append(q.trace[:0],
		slog.String(observe.FieldEndpoint, p.Run.ID), slog.Duration("predicted_ms", p.FirstEvent), slog.Int("read_tokens", p.Read), slog.Int("rank", q.rank()))
	if p.Prefill != nil {
		q.trace = append(q.trace, slog.String("prefill", p.Prefill.ID))
	}
	if p.Fetch != "" {
		q.trace = append(q.trace, slog.String("fetch", p.Fetch))
	}
}

const (
	// A prefill is given up after prefillFloor and prefillFactor times the
	// predicted time to the first event: by then its answer is lost more often
	// than late, and another engine can still read the prompt in time.
	prefillFloor  = 600 * time.Millisecond
	prefillFactor = 2
)

// prefill has the prompt read at the plan's prefill engine.
func (q *request) prefill(ctx context.Context, plan *placement.Plan, job *placement.Job) (Prefilled, error) {
	if q.prefills > 0 && !q.g.o.Budget.Spend(time.Now(), q.service.Name) {
		return Prefilled{}, errNoBudget()
	}
	q.prefills++
	f := q.g.o.Tracker.Begin(time.Now(), plan.Prefill, plan, job)
	d := q.dispatch(plan.Prefill)
	d.Prefill, d.Fetch = true, plan.Fetch
	sent := time.Now()
	patient, cancel := context.WithTimeout(ctx, prefillFloor+time.Duration(prefillFactor*float64(plan.FirstEvent)))
	defer cancel()
	prefilled, err := q.g.o.Sender.Prefill(patient, q.call, d)
	if err != nil {
		failed := prefillFailure(err)
		q.g.o.Metrics.Sends.Add(failed.Code, 1)
		q.exclude[plan.Prefill.ID] = true
		switch {
		case ctx.Err() != nil:
			f.Done()
		case failed.Code == codePrefillRejected:
			f.Rejected(time.Now())
		default:
			f.Failed(time.Now())
		}
		return Prefilled{}, failed
	}
	q.g.o.Metrics.Sends.Add("prefilled", 1)
	f.Read(time.Now())
	f.Done()
	q.trace = append(q.trace, slog.Duration("prefill_ms", time.Since(sent)))
	return prefilled, nil
}

func errNoBudget() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_budget", "no further try is allowed at the moment").After(retryBusy)
}

// releaseTimeout bounds the freeing of a cache; it lapses by itself anyway.
const releaseTimeout = time.Second

// release frees a cache that will not be taken, off the request's path.
func (q *request) release(plan *placement.Plan, p Prefilled) {
	g, e := q.g, plan.Prefill
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := g.o.Sender.Release(ctx, e, p); err != nil {
			g.o.Log.Info("prefilled cache was not freed", observe.FieldEndpoint, e.ID, observe.FieldError, err)
		}
	}()
}

// run sends the generation and relays its events.
func (q *request) run(ctx context.Context, d *Dispatch, f *placement.Flight, out *eventWriter) error {
	d.After = out.lastID
	reply, err := q.send(ctx, d)
	if err != nil {
		switch {
		case ctx.Err() != nil || d.Source != "" && verdict.As(err).Code == codeRejected:
			f.Done()
		case verdict.As(err).Code == codeRejected:
			f.Rejected(time.Now())
		default:
			f.Failed(time.Now())
		}
		return err
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		f.Done()
		if out.begun || reply.Status >= http.StatusInternalServerError && q.repeatable() && q.runs < q.route.Attempts {
			return verdict.New(verdict.Ran, http.StatusBadGateway, "endpoint_failed", "the endpoint failed the request")
		}
		return q.relayWhole(reply, false)
	}
	if !reply.Authentic {
		f.Failed(time.Now())
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_foreign", "the answer does not bear the endpoint's signature")
	}
	err = out.relay(reply, f)
	if err != nil && ctx.Err() == nil {
		f.Failed(time.Now())
		return err
	}
	f.Done()
	return err
}

// eventWriter relays the events of one stream, which may come from several
// runs.
type eventWriter struct {
	q *request
	// begun: the head was written; lastID is the last event that went out.
	begun  bool
	failed bool
	lastID string
}

const (
	// eventBuffer is the first size of the buffer for events, maxEvent the
	// longest event.
	eventBuffer = 4 << 10
	maxEvent    = 1 << 20
)

var eventEnd = []byte("\n\n")

// relay writes whole events as they arrive, so that a run that breaks off
// inside an event leaves no part of it.
func (w *eventWriter) relay(reply *Reply, f *placement.Flight) error {
	buf := make([]byte, 0, eventBuffer)
	first := true
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEvent {
				return errBrokenOff(errLongEvent)
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reply.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 && first {
			first = false
			f.Read(time.Now())
			w.q.began()
		}
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			if werr := w.write(reply, buf[:end+len(eventEnd)]); werr != nil {
				return werr
			}
			buf = buf[:copy(buf, buf[end+len(eventEnd):])]
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns it bare
			return w.finish(reply, buf)
		}
		if err != nil {
			return errBrokenOff(err)
		}
	}
}

// finish ends a stream whose run ended by itself.
func (w *eventWriter) finish(reply *Reply, rest []byte) error {
	if len(rest) == 0 && w.begun {
		return nil
	}
	return w.write(reply, rest)
}

func (w *eventWriter) write(reply *Reply, events []byte) error {
	if !w.begun {
		w.begun = true
		w.q.first = time.Since(w.q.begun)
		w.q.g.o.Metrics.FirstEvent.Record(w.q.first)
		w.q.writeHead(reply, -1)
	}
	if id, ok := lastEventID(events); ok {
		w.lastID = id
	}
	if _, err := w.q.w.Write(events); err != nil {
		w.failed = true
		return writeError(err)
	}
	if err := http.NewResponseController(w.q.w).Flush(); err != nil {
		w.failed = true
		return writeError(err)
	}
	return nil
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}
