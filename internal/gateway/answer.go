package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/verdict"
)

// writeHead starts the answer with the endpoint's own status and headers.
func (q *request) writeHead(reply *Reply, length int64) {
	h := q.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // no guess from the body
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		h.Del("Content-Length")
	}
	q.answered = true
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.until.Add(writeMargin))
	q.w.WriteHeader(reply.Status)
}

// writeMargin is how long after a request's time limit its caller may still
// take the answer.
const writeMargin = 2 * time.Second

// errBrokenOff marks an answer that cannot be completed: the connection is cut
// so that it does not look whole.
func errBrokenOff(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusBadGateway, "answer_broken", "the answer broke off")
}

func writeError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(errCallerGone, err.Error())
}

// errorBody is the body of the gateway's own refusals and failures.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// end answers an error that has no answer yet, and logs the request.
func (q *request) end(err error) {
	q.log(err)
	if err == nil {
		return
	}
	if q.answered || errors.Is(err, errCallerGone) {
		panic(http.ErrAbortHandler)
	}
	e := verdict.As(err)
	h := q.w.Header()
	if q.call != nil {
		q.g.o.Ingress.Identify(h, q.call)
	}
	h.Set("Content-Type", "application/json")
	if e.Verdict == verdict.NotRun && e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	q.w.WriteHeader(e.Status)
	if err := json.NewEncoder(q.w).Encode(errorBody{Code: e.Code, Message: e.Message, Verdict: e.Verdict.String()}); err != nil {
		q.g.o.Log.Debug("refusal was not delivered", observe.FieldError, err)
	}
}

// log writes the request's line.
func (q *request) log(err error) {
	code, status, word := "served", 0, verdict.Ran.String()
	level := slog.LevelInfo
	switch {
	case errors.Is(err, errCallerGone):
		code = "caller_gone"
	case err != nil:
		e := verdict.As(err)
		code, status, word = e.Code, e.Status, e.Verdict.String()
		level = slog.LevelWarn
	}
	q.g.o.Metrics.Outcomes.Add(code, 1)
	attrs := make([]slog.Attr, 0, 16)
	if q.call != nil {
		attrs = append(attrs, slog.String(observe.FieldRequestID, q.call.ID))
	}
	attrs = append(attrs, slog.String(observe.FieldCode, code), slog.String(observe.FieldVerdict, word))
	if status != 0 {
		attrs = append(attrs, slog.Int(observe.FieldStatus, status))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String(observe.FieldRoute, q.route.Name), slog.String(observe.FieldWorkspace, q.workspaceName()))
	}
	if q.catalog != nil {
		attrs = append(attrs, slog.Int64("config_version", q.catalog.Version), slog.Duration("config_age_ms", q.age))
	}
	if q.first > 0 {
		attrs = append(attrs, slog.Duration("first_ms", q.first))
	}
	attrs = append(attrs, slog.Duration(observe.FieldDuration, time.Since(q.begun)), slog.Int("sends", q.sends))
	attrs = append(attrs, q.trace...)
	if err != nil {
		attrs = append(attrs, slog.Any(observe.FieldError, err))
	}
	q.g.o.Log.LogAttrs(context.Background(), level, "request ended", attrs...)
}
