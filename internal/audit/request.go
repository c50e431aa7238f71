package audit

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Request is the caller's record of one request.
type Request struct {
	// ID is the request ID from the response, or the one that the caller sent.
	ID string `json:"id"`
	// Key is the name of the key sent with the request, empty for none.
	Key string `json:"key,omitempty"`
	// Open reports whether the route requires no key.
	Open bool `json:"open,omitempty"`
	// Entry is the name of the entry process that received the request.
	Entry string `json:"entry"`
	// Generation is true for completions and false for service calls.
	Generation     bool   `json:"generation,omitempty"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyHash is the xxhash of a service call's body.
	BodyHash uint64 `json:"body_hash,omitempty"`
	// Seed is engine.Seed of the model, adapter and prompt, zero if unknown.
	Seed uint64    `json:"seed,omitempty"`
	Sent time.Time `json:"sent"`
	Done time.Time `json:"done"`
	// Status is the HTTP status, zero if no response arrived.
	Status  int    `json:"status"`
	Verdict string `json:"verdict,omitempty"`
	// Code is the error code of a rejected request.
	Code string `json:"code,omitempty"`
	// Complete reports whether the whole response arrived, including its end
	// marker.
	Complete bool `json:"complete,omitempty"`
	// Text is the text of a completion.
	Text string `json:"text,omitempty"`
	// ResponseRequestID is the ID of the request that a service's response refers to.
	ResponseRequestID string `json:"answer_id,omitempty"`
	// ResponseBodyHash is the xxhash of the request body that a service's response
	// refers to.
	ResponseBodyHash uint64 `json:"answer_body_hash,omitempty"`
}

// answered reports whether the caller received an endpoint's complete response.
func (r Request) answered() bool { return r.Status == http.StatusOK && r.Complete }

// rejectedNotRun reports whether the request was rejected with the verdict that
// it was not executed.
func (r Request) rejectedNotRun() bool {
	return r.Status != http.StatusOK && r.Verdict == verdict.NotRun.String()
}

// interrupted reports whether the request received neither a complete response
// nor a rejection with a definite outcome.
func (r Request) interrupted() bool {
	if r.Status == 0 || !r.Complete {
		return true
	}
	return r.Status >= http.StatusInternalServerError && r.Verdict == verdict.MayHaveRun.String()
}
