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

// Conflict says that a resource is at another revision than expected.
type Conflict struct {
	Kind     resource.Kind     `json:"kind"`
	Name     string            `json:"name"`
	Expected resource.Revision `json:"expected_revision"`
	// Current is the resource's revision; zero when it does not exist.
	Current resource.Revision `json:"current_revision"`
}

// refusal is an error answer with its details.
type refusal struct {
	cause     *verdict.Error
	faults    resource.Faults
	conflicts []Conflict
}

// Error implements the error interface.
func (r *refusal) Error() string { return r.cause.Error() }

// Unwrap returns the cause.
func (r *refusal) Unwrap() error { return r.cause }

func refuse(status int, code, message string) *refusal {
	return &refusal{cause: verdict.New(verdict.NotRun, status, code, message)}
}

// retrySoon is when a bound on what is in work at a time is worth trying again.
const retrySoon = 2 * time.Second

// after names the time after which a repeat is worth trying.
func (r *refusal) after(d time.Duration) *refusal {
	r.cause = r.cause.After(d)
	return r
}

func refuseFaults(faults resource.Faults) *refusal {
	r := refuse(http.StatusUnprocessableEntity, "invalid", "the change is not valid; nothing was changed")
	r.faults = faults
	return r
}

func refuseConflicts(conflicts []Conflict) *refusal {
	r := refuse(http.StatusConflict, "conflict", "a resource has another revision; nothing was changed")
	r.conflicts = conflicts
	return r
}

// refusalOf maps errors of the configuration to answers.
func refusalOf(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	const retry = 2 * time.Second
	unavailable := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, snapshot.ErrVoters):
		return refuse(http.StatusUnprocessableEntity, "no_voter", err.Error())
	case errors.Is(err, backing.ErrUnknown):
		e := verdict.Wrap(err, verdict.MayHaveRun, unavailable, "outcome_unknown", "the store's answer was lost; the change may have been accepted")
		return &refusal{cause: e.After(retry)}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, snapshot.ErrBusy):
		e := verdict.Wrap(err, verdict.NotRun, unavailable, "store_unavailable", "the store does not take changes now; nothing was changed")
		return &refusal{cause: e.After(retry)}
	default:
		return &refusal{cause: verdict.As(err)}
	}
}
