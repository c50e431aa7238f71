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

// writeHeader writes the status and headers of the endpoint's response. A
// negative length means that the length of the body is unknown.
func (req *request) writeHeader(reply *Reply, length int64) {
	header := req.writer.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // disables content sniffing
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		header.Del("Content-Length")
	}
	if reply.Status == http.StatusServiceUnavailable {
		header.Del("Retry-After") // it is meant for this host
		setRetryAfter(header, req.returnAfter())
	}
	req.closeIfStopping()
	req.headerWritten = true
	_ = http.NewResponseController(req.writer).SetWriteDeadline(req.deadline.Add(writeMargin))
	req.writer.WriteHeader(reply.Status)
}

// setRetryAfter tells a caller when it may return; 0 tells it nothing.
func setRetryAfter(header http.Header, wait time.Duration) {
	if wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
}

// writeMargin is the time after the request's deadline during which the
// response may still be written to the caller.
const writeMargin = 2 * time.Second

// truncated counts an endpoint's response that broke off, or was cut at the given part
// for its size, and returns its error. If the response to the caller has been started,
// its connection is then closed so that it does not appear complete.
func (req *request) truncated(reply *Reply, part string, cause error) error {
	if isOversized(cause) {
		req.countOversized(cause, part)
		return oversizedFailure(cause)
	}
	req.gateway.opts.Metrics.Truncated.Add(reply.Framing.String(), 1)
	return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusBadGateway, "answer_broken", "the answer broke off")
}

// writeError maps the error of a write to the caller to errCallerGone. It
// returns nil if err is nil.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(errCallerGone, err.Error())
}

// errorBody is the JSON body of errors that the gateway itself returns.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// finish logs the request and sends the error response if no response has been
// started. If one has been started, or the caller is gone, it aborts the connection.
func (req *request) finish(err error) {
	req.logOutcome(err)
	req.observeDuration(err)
	if err == nil {
		return
	}
	if req.headerWritten || errors.Is(err, errCallerGone) {
		if !errors.Is(err, errCallerGone) {
			req.gateway.account.cutOff.Add(1)
		}
		req.abort()
	}
	failure := verdict.As(err)
	header := req.writer.Header()
	if req.call != nil {
		req.gateway.opts.Ingress.SetRequestID(header, req.call)
	}
	header.Set("Content-Type", "application/json")
	if failure.Verdict == verdict.NotRun {
		setRetryAfter(header, failure.RetryAfter)
	}
	req.closeIfStopping()
	req.writer.WriteHeader(failure.Status)
	if err := json.NewEncoder(req.writer).Encode(errorBody{Code: failure.Code, Message: failure.Message, Verdict: failure.Verdict.String()}); err != nil {
		req.gateway.opts.Log.Debug("failed to write error response", observe.FieldError, err)
	}
}

// logOutcome records the outcome metric and writes the request's log entry.
func (req *request) logOutcome(err error) {
	code, status, verdictName := "served", 0, verdict.Ran.String()
	level := slog.LevelInfo
	switch {
	case errors.Is(err, errCallerGone) && req.gateway.opts.Termination.Severed():
		code, verdictName, level = "connection_cut", verdict.MayHaveRun.String(), slog.LevelWarn
	case errors.Is(err, errCallerGone):
		code = "caller_gone"
	case err != nil:
		failure := verdict.As(err)
		code, status, verdictName = failure.Code, failure.Status, failure.Verdict.String()
		level = slog.LevelWarn
	}
	req.gateway.opts.Metrics.Outcomes.Add(code, 1)
	attrs := make([]slog.Attr, 0, 16)
	if req.call != nil {
		attrs = append(attrs, slog.String(observe.FieldRequestID, req.call.ID))
	}
	attrs = append(attrs, slog.String(observe.FieldCode, code), slog.String(observe.FieldVerdict, verdictName))
	if status != 0 {
		attrs = append(attrs, slog.Int(observe.FieldStatus, status))
	}
	if req.route != nil {
		attrs = append(attrs, slog.String(observe.FieldRoute, req.route.Name), slog.String(observe.FieldWorkspace, req.workspaceName()))
	}
	if req.catalog != nil {
		attrs = append(attrs, slog.Int64("config_version", req.catalog.Version), slog.Duration("config_age_ms", req.configAge))
	}
	if req.firstLatency > 0 {
		attrs = append(attrs, slog.Duration("first_ms", req.firstLatency))
	}
	attrs = append(attrs, slog.Duration(observe.FieldDuration, time.Since(req.start)), slog.Int("sends", req.sends))
	attrs = append(attrs, req.logAttrs...)
	if req.endReason != "" {
		attrs = append(attrs, slog.String("end_reason", req.endReason))
	}
	if err != nil {
		attrs = append(attrs, slog.Any(observe.FieldError, err))
	}
	req.gateway.opts.Log.LogAttrs(context.Background(), level, "request ended", attrs...)
	req.gateway.account.ended.Add(1)
	req.ended = true
}
