package opsapi

import (
	"log/slog"
	"net/http"

	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxAuditNames is the maximum number of resources named in one audit record.
const maxAuditNames = 50

// audit logs one record for a change that an operator requested, whether or not
// it was accepted. The record names resources and never contains a key or its
// hash.
func (s *server) audit(r *http.Request, intents []intent, outcome snapshot.Outcome, err error) {
	names := make([]string, 0, min(len(intents), maxAuditNames))
	for _, in := range intents[:min(len(intents), maxAuditNames)] {
		names = append(names, string(in.action)+" "+in.id())
	}
	s.auditResources(r, names, len(intents), outcome, err)
}

// auditResources logs an audit record with the given descriptions of the
// requested actions. count is the total number of actions, which may be above
// len(names).
func (s *server) auditResources(r *http.Request, names []string, count int, outcome snapshot.Outcome, err error) {
	attrs := []slog.Attr{
		slog.String("operator", operatorFromContext(r.Context())),
		slog.String("remote", r.RemoteAddr),
		slog.Any("resources", names),
		slog.Int("count", count),
	}
	if err != nil {
		cause := toAPIError(err).cause
		attrs = append(attrs, slog.String("outcome", cause.Code), slog.String("verdict", cause.Verdict.String()))
	} else {
		attrs = append(attrs, slog.String("outcome", outcomeName(outcome)), slog.Int64("revision", int64(outcome.Revision)))
	}
	s.options.Logger.LogAttrs(r.Context(), slog.LevelInfo, "audit", attrs...)
}

func outcomeName(outcome snapshot.Outcome) string {
	switch {
	case !outcome.Changed:
		return "unchanged"
	case outcome.Accepted:
		return "accepted"
	default:
		return "pending"
	}
}
