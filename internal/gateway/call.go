// Package gateway serves callers' requests whose bodies it does not read:
// route, key, rate, placement, sending, repeating, relaying. What the requests
// look like on the wire is behind its ports.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/placement"
)

// Call is one request of a caller.
type Call struct {
	// ID is the caller's name for this request.
	ID string
	// Host and Target are as the caller sent them; Path is Target's path.
	Host, Method, Target, Path string
	// Header is what goes on to the endpoint.
	Header http.Header
	// Key is the caller's secret. It goes nowhere.
	Key string
	// Patience is how long the caller waits; zero means that it did not say.
	Patience time.Duration
	// HasTokens says that Prompt and Output, the prompt's tokens and the most
	// tokens of the answer, are known.
	HasTokens      bool
	Prompt, Output int
	Parts          []placement.Part
	Body           []byte
	HasBody        bool
}

// Dispatch is one send of a call to one endpoint.
type Dispatch struct {
	Endpoint  *endpoint.Endpoint
	Workspace string
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// Priority ranks it at an engine, 0 first.
	Priority int
	// Engine says that the endpoint is a model engine.
	Engine bool
	// Prefill asks for the prompt to be read only.
	Prefill bool
	// Source names a KV cache that was read elsewhere, Fetch an engine that
	// holds parts of the prompt.
	Source, Fetch string
	// After is the last event that the caller has; empty for none.
	After string
	// Once marks requests that may not be repeated.
	Once bool
	// Connections bounds this host's connections to the endpoint.
	Connections int
	Deadline    time.Time
}

// Reply is an endpoint's answer.
type Reply struct {
	Status int
	// Header is what goes back to the caller.
	Header http.Header
	// Length is the body's length, negative when unknown.
	Length int64
	Body   io.ReadCloser
	// NotRun says that the endpoint states not to have run the request, Moved
	// that another endpoint has the address.
	NotRun, Moved bool
	// Authentic says that the answer bears the endpoint's signature.
	Authentic bool
}

// Prefilled is a KV cache that waits to be taken.
type Prefilled struct {
	// Source names the cache and its engine.
	Source string
}

// Errors of a prefill that the engine has answered.
var (
	// ErrPrefillRejected means that the engine did not read the prompt.
	ErrPrefillRejected = errors.New("engine rejected a prefill")
	// ErrPrefillGarbled means that its answer names no cache.
	ErrPrefillGarbled = errors.New("engine's answer names no cache")
)

// Sender sends calls to endpoints. Each method puts one request on the wire. A
// request without an answer is an *outbound.Failure.
type Sender interface {
	// Send returns the answer.
	Send(ctx context.Context, c *Call, d *Dispatch) (*Reply, error)
	// Prefill has the prompt read; see ErrPrefillRejected and ErrPrefillGarbled.
	Prefill(ctx context.Context, c *Call, d *Dispatch) (Prefilled, error)
	// Release frees a KV cache that will not be taken.
	Release(ctx context.Context, e *endpoint.Endpoint, p Prefilled) error
}

// MalformedError is a request that states its facts in a form that cannot be
// read.
type MalformedError struct {
	// Code is a stable name, Message one lower-case sentence.
	Code, Message string
}

// Error implements error.
func (e *MalformedError) Error() string { return e.Code + ": " + e.Message }

// Ingress reads callers' requests and names the answers.
type Ingress interface {
	// Call reads a request's head, as far as it can. The error is a
	// *MalformedError.
	Call(r *http.Request) (*Call, error)
	// Identify names the request in an answer of the gateway's own.
	Identify(h http.Header, c *Call)
}
