package observe

import (
	"io"
	"log/slog"
	"time"
)

// Identity identifies the process in its log lines and state dumps.
type Identity struct {
	// Process is the name of the host or endpoint.
	Process string `json:"process"`
	// Role is "entry" or "agent".
	Role   string `json:"role"`
	Domain string `json:"domain"`
}

// NewLogger returns a logger that writes each record as one line of JSON to w. It
// adds the identity of the process and redacts credentials.
func NewLogger(w io.Writer, level slog.Leveler, id Identity) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr})
	return slog.New(handler).With(
		slog.String(FieldProcess, id.Process),
		slog.String(FieldRole, id.Role),
		slog.String(FieldDomain, id.Domain),
	)
}

// replaceAttr redacts credentials in an attribute and converts durations to
// milliseconds.
func replaceAttr(_ []string, a slog.Attr) slog.Attr {
	if IsSecretName(a.Key) {
		return slog.String(a.Key, Redacted)
	}
	switch a.Value.Kind() {
	case slog.KindString:
		return slog.String(a.Key, RedactText(a.Value.String()))
	case slog.KindDuration:
		return slog.Float64(a.Key, float64(a.Value.Duration())/float64(time.Millisecond))
	case slog.KindAny:
		if err, ok := a.Value.Any().(error); ok && err != nil {
			return slog.String(a.Key, RedactText(err.Error()))
		}
	}
	return a
}
