package gateway

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/verdict"
)

// engineLost reports whether err means that the connection to an engine was lost after
// the request was sent.
func engineLost(err error) bool {
	switch verdict.As(err).Code {
	case "endpoint_lost", "answer_broken", "prefill_endpoint_lost":
		return true
	default:
		return false
	}
}

// logLoss logs what was on an engine that was lost under the request. begun is when the
// engine began its answer; zero if it had not.
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
