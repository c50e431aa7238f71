package replay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// replayer is the state of one replay.
type replayer struct {
	trace        *Trace
	opts         Options
	entries      *entryBalancer
	start        time.Time
	samples      []Sample
	openRequests atomic.Int64
	sent         atomic.Int64
	finished     atomic.Int64
	good         atomic.Int64
	refused      atomic.Int64
	requestGroup sync.WaitGroup

	mu          sync.Mutex // guards eventErrors
	eventErrors []string
}

// Run replays a trace and returns the result. The load is open-loop: each request
// is sent at its scheduled time, regardless of how slowly earlier ones are
// answered. Latencies are measured from the scheduled time, so a client that lags
// behind makes the metrics worse, never better. When ctx ends, no further requests
// are sent and the result is marked as interrupted.
func Run(ctx context.Context, t *Trace, o Options) (*Result, error) {
	o, err := o.withDefaults(t)
	if err != nil {
		return nil, err
	}
	r := &replayer{
		trace: t, opts: o,
		entries: newEntryBalancer(o.Entries),
		samples: make([]Sample, len(t.Requests)),
		start:   time.Now(),
	}
	r.initSamples()
	progress, stopProgress := context.WithCancel(ctx)
	defer stopProgress()
	if o.Progress != nil {
		go r.reportProgress(progress)
	}
	events := r.runEvents(ctx)
	sent := r.sendAll(ctx)
	r.requestGroup.Wait()
	events.Wait()
	stopProgress()
	result := summarize(t, o, r.samples[:sent], r.start, time.Since(r.start))
	result.Interrupted = sent < len(t.Requests)
	result.EventErrors = r.eventErrors
	if o.DeploymentFigures != nil {
		return result, r.addFigures(ctx, result)
	}
	return result, nil
}

// initSamples sets the fields of all samples that are known before sending.
func (r *replayer) initSamples() {
	within := withinRates(r.trace, r.opts)
	for i := range r.trace.Requests {
		request := &r.trace.Requests[i]
		workspace := request.Workspace
		if workspace == "" {
			workspace = r.opts.Workspace
		}
		r.samples[i] = Sample{
			Index: i, At: milliseconds(replayTime(request.Offset, r.opts.Speed)), Workspace: workspace,
			Route: request.Route, Class: request.class(), WithinRate: within[i], TotalTokens: request.totalTokens(),
		}
	}
}

// sendAll starts each request at its scheduled time. It returns the number of
// requests that were due before ctx ended, including those dropped because of
// the limit on requests in flight.
func (r *replayer) sendAll(ctx context.Context) int {
	for i := range r.trace.Requests {
		due := r.start.Add(replayTime(r.trace.Requests[i].Offset, r.opts.Speed))
		if !waitUntil(ctx, due) {
			return i
		}
		r.sent.Add(1)
		if r.openRequests.Load() >= int64(r.opts.MaxInFlight) {
			r.samples[i].Code = "client_limit"
			r.recordSample(&r.samples[i])
			continue
		}
		r.openRequests.Add(1)
		r.requestGroup.Go(func() {
			defer r.openRequests.Add(-1)
			r.sendWithRetries(ctx, i, due)
			r.recordSample(&r.samples[i])
		})
	}
	return len(r.trace.Requests)
}

// waitUntil sleeps until due. It returns false if ctx ends first.
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

// recordSample evaluates a finished sample and updates the progress counters.
func (r *replayer) recordSample(s *Sample) {
	s.evaluate(r.opts.Targets)
	r.finished.Add(1)
	if s.Good {
		r.good.Add(1)
	}
	if s.isRefused() {
		r.refused.Add(1)
	}
}

// runEvents applies each event of the trace to the deployment at its scheduled
// time, in a goroutine tracked by the returned wait group.
func (r *replayer) runEvents(ctx context.Context) *sync.WaitGroup {
	var events sync.WaitGroup
	if r.opts.OnEvent == nil {
		for _, event := range r.trace.Events {
			r.addEventError("event %s %s had nobody to do it", event.Action, event.Target)
		}
		return &events
	}
	events.Go(func() {
		for _, event := range r.trace.Events {
			if !waitUntil(ctx, r.start.Add(replayTime(event.Offset, r.opts.Speed))) {
				return
			}
			if err := r.opts.OnEvent(ctx, event); err != nil {
				r.addEventError("event %s %s: %v", event.Action, event.Target, err)
			}
		}
	})
	return &events
}

func (r *replayer) addEventError(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventErrors = append(r.eventErrors, fmt.Sprintf(format, args...))
}

func (r *replayer) addFigures(ctx context.Context, result *Result) error {
	figures, err := r.opts.DeploymentFigures(ctx)
	if err != nil {
		return errors.Wrap(err, "replay: read figures of the deployment")
	}
	result.Figures = &figures
	return nil
}

// reportProgress writes a progress line every ProgressEvery until ctx ends.
func (r *replayer) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(r.opts.ProgressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.opts.Progress, "%6.0f s  sent %d of %d  open %d  good %d of %d ended  refused %d\n",
				time.Since(r.start).Seconds(), r.sent.Load(), len(r.trace.Requests), r.openRequests.Load(),
				r.good.Load(), r.finished.Load(), r.refused.Load())
		}
	}
}
