package opsapi

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/verdict"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request had an effect.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Verdict is "not-run" if nothing was changed.
	Verdict   string          `json:"verdict"`
	Faults    resource.Faults `json:"faults,omitempty"`
	Conflicts []Conflict      `json:"conflicts,omitempty"`
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.options.Logger.Debug("write response failed", "error", err.Error())
	}
	return nil
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	apiErr := toAPIError(err)
	cause := apiErr.cause
	if cause.Status >= http.StatusInternalServerError {
		s.options.Logger.Warn("operator request failed", "path", r.URL.Path, "operator", operatorFromContext(r.Context()), "error", cause.Error())
	}
	w.Header().Set(verdict.Header, cause.Verdict.String())
	if cause.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(cause.RetryAfter.Seconds()))))
	}
	detail := ErrorDetail{Code: cause.Code, Message: cause.Message, Verdict: cause.Verdict.String(), Faults: apiErr.faults, Conflicts: apiErr.conflicts}
	_ = s.writeJSON(w, cause.Status, ErrorBody{Error: detail})
}

// readJSON decodes a JSON body of at most limit bytes into target.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, target any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return newAPIError(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
		}
		return newAPIError(http.StatusBadRequest, "bad_request", "the body could not be read")
	}
	if err := json.Unmarshal(body, target); err != nil {
		return newAPIError(http.StatusBadRequest, "bad_json", err.Error())
	}
	return nil
}
