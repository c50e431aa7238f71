package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// engineLost reports whether err means that the connection to an engine was lost after
// the request was sent, or that nothing came from it in time.
func engineLost(err error) bool {
	switch verdict.As(err).Code {
	case "endpoint_lost", "answer_broken", codeOversized, "prefill_endpoint_lost", "prefill_" + codeOversized, "endpoint_silent", codeStalled, "prefill_endpoint_silent":
		return true
	default:
		return false
	}
}

// engineUnreachable reports whether err means that no connection to an engine could be
// opened.
func engineUnreachable(err error) bool {
	switch verdict.As(err).Code {
	case "endpoint_unreachable", "prefill_endpoint_unreachable":
		return true
	default:
		return false
	}
}

// probeTimeout bounds the wait for the answer whether a lost engine still runs. One that
// crashed refuses a connection at once.
const probeTimeout = 150 * time.Millisecond

// recordLoss records that an engine was lost under the request. begun is when the engine
// began its answer; zero if it had not. lastAt is when something last came from it; zero
// for now. If the engine has crashed and the request may be the cause, it is not sent to
// another one.
func (req *request) recordLoss(ctx context.Context, e *endpoint.Endpoint, job *placement.Job, begun, lastAt time.Time) {
	req.logLoss(e, job, begun)
	if lastAt.IsZero() {
		lastAt = time.Now()
	}
	segments, ledger := job.SharedSegments(), req.gateway.opts.Suspects
	ledger.Lost(lastAt, e.Key(), req.service.Name, segments, begun)
	if err := req.gateway.probe(ctx, e); !errors.Is(err, ErrEndpointDown) {
		if err != nil && time.Since(lastAt) >= silentTime {
			go req.gateway.confirmDark(ctx, e)
		}
		return // if its entry expires, it has crashed
	}
	ledger.Crashed(time.Now(), e.Key())
	req.crashes++
	if !ledger.Known(req.service.Name, segments) || req.crashes >= maxCrashes {
		req.mayBeDeadly = true
		ledger.RetryWithheld()
	}
}

// recordUnreachable records that no connection to an engine could be opened. Requests that
// it had before may have crashed it, whatever became of them.
func (req *request) recordUnreachable(ctx context.Context, e *endpoint.Endpoint) {
	ledger := req.gateway.opts.Suspects
	if ledger.Watches(e.Key()) && errors.Is(req.gateway.probe(ctx, e), ErrEndpointDown) {
		ledger.Refused(time.Now(), e.Key())
	}
}

// silentTime is the time without an event after which an engine may have crashed without
// closing its connections.
const silentTime = time.Second

// recordLeft records that the caller left while the engine had the request. begun is when
// the engine began its answer, zero if it had not, and lastAt when something last came.
func (req *request) recordLeft(e *endpoint.Endpoint, job *placement.Job, begun, lastAt time.Time) {
	ledger, now := req.gateway.opts.Suspects, time.Now()
	switch {
	case now.Sub(lastAt) >= silentTime:
		ledger.Lost(lastAt, e.Key(), req.service.Name, job.SharedSegments(), begun)
	case begun.IsZero():
		ledger.Left(now, e.Key(), req.service.Name, job.SharedSegments())
	default:
		ledger.Answered(lastAt, e.Key(), req.service.Name, job.SharedSegments(), begun)
	}
}

// maxCrashes is the number of engines that may crash under one request.
const maxCrashes = 2

// probe probes an engine once for all requests that lost it at the same time.
func (g *Gateway) probe(ctx context.Context, e *endpoint.Endpoint) error {
	_, err, _ := g.probes.Do(e.ID, func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return nil, g.opts.Sender.Probe(probeCtx, e)
	})
	return err
}

// darkTimeout bounds the wait for a sign of an engine that fell silent under a request.
const darkTimeout = time.Second

// confirmDark records that an engine has crashed that fell silent under a request and gives
// no sign for a second more. Its entry expires later.
func (g *Gateway) confirmDark(ctx context.Context, e *endpoint.Endpoint) {
	_, _, _ = g.darkProbes.Do(e.ID, func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), darkTimeout)
		defer cancel()
		if err := g.opts.Sender.Probe(probeCtx, e); err != nil {
			g.opts.Suspects.Crashed(time.Now(), e.Key())
		}
		return nil, nil
	})
}

// ended reports whether the endpoint's process has ended, though it was not to leave: one
// that leaves stops accepting connections before its last answers end.
func (g *Gateway) ended(ctx context.Context, e *endpoint.Endpoint) bool {
	return g.opts.Endpoints.Get(e.ID) != nil && errors.Is(g.probe(ctx, e), ErrEndpointDown)
}

// recordAnswered records that an engine began an answer at the given time and did not
// crash.
func (req *request) recordAnswered(e *endpoint.Endpoint, job *placement.Job, begun time.Time) {
	if !begun.IsZero() {
		req.gateway.opts.Suspects.Answered(time.Now(), e.Key(), req.service.Name, job.SharedSegments(), begun)
	}
}

// codeSegmentHeld is the code of a request that is held back for one of its segments.
const codeSegmentHeld = "segment_held"

// checkSegments returns an error if the request is held back for one of its segments. It
// lets a request pass that was chosen to try one again.
func (req *request) checkSegments() error {
	if req.tries || req.service.Engine == nil {
		return nil
	}
	now := time.Now()
	job := placement.Job{Segments: req.call.Segments}
	v, held := req.gateway.opts.Suspects.Check(now, req.service.Name, job.SharedSegments(), false)
	if !held {
		return nil
	}
	if req.gateway.opts.Leads() {
		if _, held := req.gateway.opts.Suspects.Check(now, req.service.Name, job.SharedSegments(), true); !held {
			req.tries = true
			return nil
		}
	}
	for _, attr := range v.LogAttrs(now) {
		req.logAttrs = append(req.logAttrs, attr.(slog.Attr))
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeSegmentHeld, "a segment of the prompt is suspected to crash engines").After(max(busyRetryAfter, v.Until().Sub(now)))
}

// logLoss logs what was on an engine that was lost under the request.
func (req *request) logLoss(e *endpoint.Endpoint, job *placement.Job, begun time.Time) {
	now := time.Now()
	load := req.gateway.opts.Tracker.LoadOn(now, e.ID)
	attrs := []slog.Attr{
		slog.String(observe.FieldRequestID, req.call.ID), slog.String(observe.FieldEndpoint, e.ID), slog.Int64("started_at_ms", e.StartedAtMS),
		slog.Any("segments", hexHashes(job.SharedSegments())), slog.Int("streams", load.Streams), slog.Int("kv_tokens", load.KVTokens),
	}
	if !begun.IsZero() {
		attrs = append(attrs, slog.Duration("begun_ms", now.Sub(begun)))
	}
	req.gateway.opts.Log.LogAttrs(context.Background(), slog.LevelInfo, "engine lost under a request", attrs...)
}

// hexHashes returns hashes as callers write them.
func hexHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 16)
	}
	return out
}
