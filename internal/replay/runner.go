package replay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// runner replays one trace.
type runner struct {
	trace    *Trace
	opts     Options
	entries  *entrySet
	start    time.Time
	samples  []Sample
	open     atomic.Int64
	sent     atomic.Int64
	ended    atomic.Int64
	good     atomic.Int64
	refused  atomic.Int64
	requests sync.WaitGroup

	mu     sync.Mutex // guards faults
	faults []string
}

// Run replays a trace and returns what came of it. Each request is sent when it
// is due, however slowly the earlier ones are answered, and its times count
// from then: a client that lags behind makes the figures worse, never better.
// When ctx ends no further requests are sent, and the result says so.
func Run(ctx context.Context, t *Trace, o Options) (*Result, error) {
	o, err := o.withDefaults(t)
	if err != nil {
		return nil, err
	}
	r := &runner{
		trace: t, opts: o,
		entries: newEntrySet(o.Entries),
		samples: make([]Sample, len(t.Requests)),
		start:   time.Now(),
	}
	r.prepare()
	progress, stopProgress := context.WithCancel(ctx)
	defer stopProgress()
	if o.Progress != nil {
		go r.report(progress)
	}
	events := r.runEvents(ctx)
	sent := r.send(ctx)
	r.requests.Wait()
	events.Wait()
	stopProgress()
	result := summarize(t, o, r.samples[:sent], r.start, time.Since(r.start))
	result.Interrupted = sent < len(t.Requests)
	result.Faults = r.faults
	if o.Figures != nil {
		return result, r.addFigures(ctx, result)
	}
	return result, nil
}

// prepare fills in what is known of each sample before it is sent.
func (r *runner) prepare() {
	within := withinRates(r.trace, r.opts)
	for i := range r.trace.Requests {
		request := &r.trace.Requests[i]
		workspace := request.Workspace
		if workspace == "" {
			workspace = r.opts.Workspace
		}
		r.samples[i] = Sample{
			Index: i, At: ms(scaled(request.At, r.opts.Scale)), Workspace: workspace,
			Route: request.Route, Class: request.class(), Within: within[i], Size: request.tokens(),
		}
	}
}

// send sends all requests when they are due and returns how many were.
func (r *runner) send(ctx context.Context) int {
	for i := range r.trace.Requests {
		due := r.start.Add(scaled(r.trace.Requests[i].At, r.opts.Scale))
		if !waitUntil(ctx, due) {
			return i
		}
		r.sent.Add(1)
		if r.open.Load() >= int64(r.opts.InFlight) {
			r.samples[i].Code = "client_limit"
			r.finish(&r.samples[i])
			continue
		}
		r.open.Add(1)
		r.requests.Go(func() {
			defer r.open.Add(-1)
			r.one(ctx, i, due)
			r.finish(&r.samples[i])
		})
	}
	return len(r.trace.Requests)
}

// waitUntil returns false if ctx ended first.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finish judges and counts a sample.
func (r *runner) finish(s *Sample) {
	s.judge(r.opts.Targets)
	r.ended.Add(1)
	if s.Good {
		r.good.Add(1)
	}
	if s.refused() {
		r.refused.Add(1)
	}
}

// runEvents lets the deployment do what the trace says, each event when it is due.
func (r *runner) runEvents(ctx context.Context) *sync.WaitGroup {
	var events sync.WaitGroup
	if r.opts.OnEvent == nil {
		for _, e := range r.trace.Events {
			r.fault("event %s %s had nobody to do it", e.Action, e.Target)
		}
		return &events
	}
	events.Go(func() {
		for _, e := range r.trace.Events {
			if !waitUntil(ctx, r.start.Add(scaled(e.At, r.opts.Scale))) {
				return
			}
			if err := r.opts.OnEvent(ctx, e); err != nil {
				r.fault("event %s %s: %v", e.Action, e.Target, err)
			}
		}
	})
	return &events
}

func (r *runner) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *runner) addFigures(ctx context.Context, result *Result) error {
	figures, err := r.opts.Figures(ctx)
	if err != nil {
		return errors.Wrap(err, "replay: figures of the deployment")
	}
	result.Figures = &figures
	return nil
}

// report writes a line of progress from time to time.
func (r *runner) report(ctx context.Context) {
	ticker := time.NewTicker(r.opts.ProgressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.opts.Progress, "%6.0f s  sent %d of %d  open %d  good %d of %d ended  refused %d\n",
				time.Since(r.start).Seconds(), r.sent.Load(), len(r.trace.Requests), r.open.Load(),
				r.good.Load(), r.ended.Load(), r.refused.Load())
		}
	}
}
