package opsapi

import (
	"log/slog"
	"net/http"

	"github.com/acacialink/acacialink/internal/snapshot"
)

// maxAuditNames bounds the resources that one audit line names.
const maxAuditNames = 50

// audit writes one line for each change that an operator asked for, refused
// ones included. It names resources and never holds a key or a hash.
func (s *server) audit(r *http.Request, intents []intent, o snapshot.Outcome, err error) {
	names := make([]string, 0, min(len(intents), maxAuditNames))
	for _, in := range intents[:min(len(intents), maxAuditNames)] {
		names = append(names, string(in.action)+" "+in.id())
	}
	s.auditNames(r, names, len(intents), o, err)
}

// auditNames writes the line for what the names say was asked for.
func (s *server) auditNames(r *http.Request, names []string, count int, o snapshot.Outcome, err error) {
	attrs := []slog.Attr{
		slog.String("operator", operatorOf(r.Context())),
		slog.String("remote", r.RemoteAddr),
		slog.Any("resources", names),
		slog.Int("count", count),
	}
	if err != nil {
		v := refusalOf(err).cause
		attrs = append(attrs, slog.String("outcome", v.Code), slog.String("verdict", v.Verdict.String()))
	} else {
		attrs = append(attrs, slog.String("outcome", outcomeName(o)), slog.Int64("revision", int64(o.Revision)))
	}
	s.o.Logger.LogAttrs(r.Context(), slog.LevelInfo, "audit", attrs...)
}

func outcomeName(o snapshot.Outcome) string {
	switch {
	case !o.Changed:
		return "unchanged"
	case o.Accepted:
		return "accepted"
	default:
		return "pending"
	}
}
