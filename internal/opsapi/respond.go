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

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what was wrong and whether anything was changed.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Verdict is "not-run" when nothing was changed.
	Verdict   string          `json:"verdict"`
	Faults    resource.Faults `json:"faults,omitempty"`
	Conflicts []Conflict      `json:"conflicts,omitempty"`
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.o.Logger.Debug("answer not written", "error", err.Error())
	}
	return nil
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	f := refusalOf(err)
	v := f.cause
	if v.Status >= http.StatusInternalServerError {
		s.o.Logger.Warn("operator request failed", "path", r.URL.Path, "operator", operatorOf(r.Context()), "error", v.Error())
	}
	w.Header().Set(verdict.Header, v.Verdict.String())
	if v.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	detail := ErrorDetail{Code: v.Code, Message: v.Message, Verdict: v.Verdict.String(), Faults: f.faults, Conflicts: f.conflicts}
	_ = s.writeJSON(w, v.Status, ErrorBody{Error: detail})
}

// readJSON decodes a bounded body.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return refuse(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
		}
		return refuse(http.StatusBadRequest, "bad_request", "the body could not be read")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return refuse(http.StatusBadRequest, "bad_json", err.Error())
	}
	return nil
}
