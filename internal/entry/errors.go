package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Errors shared by several handlers. All have the verdict not-run.
var (
	errTooManyOpenRequests = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "overloaded", "the host serves as many requests as it may").After(overloadRetryAfter)
	errHostEnding          = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "host_ending", "the host is about to end").After(overloadRetryAfter)
	errNoKey               = verdict.New(verdict.NotRun, http.StatusUnauthorized, "no_key", "the request carries no key")
	errInvalidKey          = verdict.New(verdict.NotRun, http.StatusUnauthorized, "invalid_key", "the key is unknown or revoked")
	errKeyInRequest        = verdict.New(verdict.NotRun, http.StatusBadRequest, "key_in_request", "the key must only be sent in the Authorization or X-Api-Key header")
	errBodyTooLarge        = verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than allowed")
	errBuffersFull         = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "buffers_full", "the host holds as many bytes of bodies as it may").After(overloadRetryAfter)
	errBodyIncomplete      = verdict.New(verdict.NotRun, http.StatusRequestTimeout, "body_incomplete", "the body did not arrive in time")
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the failure of a request.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type is the OpenAI-compatible error class, derived from the HTTP status.
	Type string `json:"type"`
	// Code identifies the kind of failure.
	Code string `json:"code"`
	// Verdict states whether the request may have run.
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id"`
}

func errorBody(r *http.Request, e *verdict.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:   e.Message,
		Type:      errorType(e.Status),
		Code:      e.Code,
		Verdict:   e.Verdict.String(),
		RequestID: requestID(r),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// writeError counts and logs err and writes it as the response. It must not be
// called once the response has started.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := verdict.As(err)
	s.countVerdict(e)
	s.logFailure(r, e)
	h := w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(errorBody(r, e))
}

func (s *Server) countVerdict(e *verdict.Error) {
	switch e.Verdict {
	case verdict.NotRun:
		s.stats.Refused.Add(1)
	case verdict.MayHaveRun:
		s.stats.MayHaveRun.Add(1)
	case verdict.Ran:
	}
}

func (s *Server) logFailure(r *http.Request, e *verdict.Error) {
	if s.opts.Log == nil {
		return
	}
	s.opts.Log.InfoContext(r.Context(), "request failed",
		"request_id", requestID(r),
		"path", r.URL.Path,
		"status", e.Status,
		"code", e.Code,
		"verdict", e.Verdict.String(),
		"cause", causeText(e),
	)
}

func causeText(e *verdict.Error) string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// overloadRetryAfter is the Retry-After value of refusals that are likely to be
// short-lived.
const overloadRetryAfter = time.Second
