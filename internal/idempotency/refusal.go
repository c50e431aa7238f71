package idempotency

import (
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// retryAfter is the Retry-After of errors that are expected to be temporary.
const retryAfter = 2 * time.Second

func errStoreUnavailable(cause error) *verdict.Error {
	e := verdict.Wrap(cause, verdict.NotRun, 503, "claim_unavailable", "the idempotency key could not be claimed; nothing was sent")
	return e.After(retryAfter)
}

func errTooManyClaims() *verdict.Error {
	e := verdict.New(verdict.NotRun, 503, "claims_full", "too many idempotency keys are in use; nothing was sent")
	return e.After(retryAfter)
}

func errClaimTooLate() *verdict.Error {
	e := verdict.New(verdict.NotRun, 503, "claim_too_late", "the claim took longer than a request may; nothing was sent")
	return e.After(retryAfter)
}

func errKeyReused() *verdict.Error {
	return verdict.New(verdict.NotRun, 422, "idempotency_key_reused", "the idempotency key was used with another request")
}

func errMayHaveRun() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, 409, "may_have_run", "a request with this idempotency key was sent and its outcome is not known")
}

func errResultNotRetained() *verdict.Error {
	return verdict.New(verdict.Ran, 409, "result_not_kept", "the request ran and its answer is no longer available")
}
