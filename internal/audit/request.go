package audit

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Request is one request as its caller recorded it.
type Request struct {
	// ID is the request id that the answer carried, or that the caller sent.
	ID string `json:"id"`
	// Key names the key that came with it, empty for none.
	Key string `json:"key,omitempty"`
	// Open is true for routes that need no key.
	Open bool `json:"open,omitempty"`
	// Entry is the entry process that it was sent to.
	Entry string `json:"entry"`
	// Generation is true for completions, false for calls of services.
	Generation     bool   `json:"generation,omitempty"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyHash is the xxhash of a service call's body.
	BodyHash uint64 `json:"body_hash,omitempty"`
	// Seed is engine.Seed of the model, adapter and prompt, zero if unknown.
	Seed uint64    `json:"seed,omitempty"`
	Sent time.Time `json:"sent"`
	Done time.Time `json:"done"`
	// Status is zero if no answer came.
	Status  int    `json:"status"`
	Verdict string `json:"verdict,omitempty"`
	// Code is the machine-readable name of a refusal.
	Code string `json:"code,omitempty"`
	// Complete is true if the answer arrived whole, with its end marker.
	Complete bool `json:"complete,omitempty"`
	// Text is the text of a completion.
	Text string `json:"text,omitempty"`
	// AnswerID and AnswerBodyHash are what a service's answer says that it
	// answers.
	AnswerID       string `json:"answer_id,omitempty"`
	AnswerBodyHash uint64 `json:"answer_body_hash,omitempty"`
}

// answered is true if the caller got the answer of an endpoint.
func (r Request) answered() bool { return r.Status == http.StatusOK && r.Complete }

// refusedNotRun is true if the caller was told that the request did not run.
func (r Request) refusedNotRun() bool {
	return r.Status != http.StatusOK && r.Verdict == verdict.NotRun.String()
}

// cut is true if the request was neither answered nor refused.
func (r Request) cut() bool {
	if r.Status == 0 || !r.Complete {
		return true
	}
	return r.Status >= http.StatusInternalServerError && r.Verdict == verdict.MayHaveRun.String()
}
