package opsapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Conflict describes a resource whose revision is not the expected one.
type Conflict struct {
	Kind     resource.Kind     `json:"kind"`
	Name     string            `json:"name"`
	Expected resource.Revision `json:"expected_revision"`
	// Current is the revision of the resource, zero if it does not exist.
	Current resource.Revision `json:"current_revision"`
}

// apiError is an error response with its details.
type apiError struct {
	cause     *verdict.Error
	faults    resource.Faults
	conflicts []Conflict
}

// Error returns the message of the cause.
func (e *apiError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *apiError) Unwrap() error { return e.cause }

// newAPIError returns an error with the verdict "not-run".
func newAPIError(status int, code, message string) *apiError {
	return &apiError{cause: verdict.New(verdict.NotRun, status, code, message)}
}

// busyRetryDelay is the Retry-After of requests rejected by a concurrency limit.
const busyRetryDelay = 2 * time.Second

// withRetryAfter sets the Retry-After delay of e and returns e.
func (e *apiError) withRetryAfter(d time.Duration) *apiError {
	e.cause = e.cause.After(d)
	return e
}

func newFaultsError(faults resource.Faults) *apiError {
	e := newAPIError(http.StatusUnprocessableEntity, "invalid", "the change is not valid; nothing was changed")
	e.faults = faults
	return e
}

func newConflictsError(conflicts []Conflict) *apiError {
	e := newAPIError(http.StatusConflict, "conflict", "a resource has another revision; nothing was changed")
	e.conflicts = conflicts
	return e
}

// toAPIError maps an error, such as one from the configuration, to an error
// response.
func toAPIError(err error) *apiError {
	var e *apiError
	if errors.As(err, &e) {
		return e
	}
	const retry = 2 * time.Second
	unavailable := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, snapshot.ErrNotVoters):
		return newAPIError(http.StatusUnprocessableEntity, "no_voter", err.Error())
	case errors.Is(err, backing.ErrUnknown):
		wrapped := verdict.Wrap(err, verdict.MayHaveRun, unavailable, "outcome_unknown", "the store's answer was lost; the change may have been accepted")
		return &apiError{cause: wrapped.After(retry)}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, snapshot.ErrContention):
		wrapped := verdict.Wrap(err, verdict.NotRun, unavailable, "store_unavailable", "the store does not take changes now; nothing was changed")
		return &apiError{cause: wrapped.After(retry)}
	default:
		return &apiError{cause: verdict.As(err)}
	}
}
