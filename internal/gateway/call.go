// Package gateway proxies callers' requests to endpoints without parsing their
// bodies: routing, authentication, rate limiting, placement, sending, retries
// and relaying of the response. The wire formats of callers and endpoints are
// implemented behind the Ingress and Sender interfaces.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/framing"
	"github.com/acacialink/acacialink/internal/placement"
)

// Call is one request of a caller, as parsed by an Ingress.
type Call struct {
	// ID is the request ID that the caller chose.
	ID string
	// Host and Target are as the caller sent them. Path is the path of Target.
	Host, Method, Target, Path string
	// Header holds the headers that are forwarded to the endpoint.
	Header http.Header
	// Key is the caller's secret API key. It is never forwarded or logged.
	Key string
	// MaxWait is the time that the caller waits for the response, as it stated;
	// zero means no limit.
	MaxWait time.Duration
	// LastEventID is the ID of the last event that the caller received of the stream that it
	// resumes; empty for none.
	LastEventID string
	// HasTokens reports whether the token counts are known.
	HasTokens bool
	// PromptTokens is the number of prompt tokens. MaxOutputTokens is the
	// maximum number of output tokens.
	PromptTokens, MaxOutputTokens int
	// Segments are the prefix segments of the prompt.
	Segments []placement.Segment
	Body     []byte
	// HasBody reports whether the request has a body, which may be empty.
	HasBody bool
}

// Dispatch holds the parameters of one send of a call to an endpoint.
type Dispatch struct {
	Endpoint  *endpoint.Endpoint
	Workspace string
	// Expires is when the caller's time is over. The endpoint is told what is left of it.
	Expires time.Time
	// Priority is the position in the engine's queue, 0 first.
	Priority int
	// Engine reports whether the endpoint is a model engine.
	Engine bool
	// PrefillOnly restricts the request to the prefill of the prompt.
	PrefillOnly bool
	// CacheSource identifies the KV cache of a prompt that another engine
	// prefilled. FetchFrom identifies an engine that has cached prefix segments
	// of the prompt. Each is empty for none.
	CacheSource, FetchFrom string
	// LastEventID is the ID of the last event that the caller received; empty for
	// none.
	LastEventID string
	// NonRepeatable reports whether the request must not be sent twice.
	NonRepeatable bool
	// MaxConnections limits this host's connections to the endpoint; 0 means no
	// limit.
	MaxConnections int
	// Answer reserves the memory of the response; nil for no limit.
	Answer *bodybudget.Reservation
	// Deadline is the time at which the wait for the response ends.
	Deadline time.Time
}

// Reply is an endpoint's response. Its Body must be closed.
type Reply struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	// Length is the length of the body in bytes; negative if unknown.
	Length int64
	// Framing is how the response states where its body ends.
	Framing framing.Framing
	Body    io.ReadCloser
	// NotRun reports whether the endpoint declared that it did not run the
	// request. AddressReassigned reports whether the address now belongs to
	// another endpoint.
	NotRun, AddressReassigned bool
	// Authentic reports whether the response has the endpoint's valid
	// signature.
	Authentic bool
}

// Prefilled is a KV cache that is ready to be fetched by a decode engine.
type Prefilled struct {
	// CacheSource identifies the cache and the engine that has it.
	CacheSource string
}

// Errors of a prefill that the engine answered.
var (
	// ErrPrefillRejected reports that the engine did not prefill the prompt.
	ErrPrefillRejected = errors.New("engine rejected the prefill")
	// ErrPrefillInvalid reports that the response identifies no KV cache.
	ErrPrefillInvalid = errors.New("prefill response identifies no KV cache")
)

// Sender sends calls to endpoints. Each method sends exactly one request. The
// error of a request without a response is an *outbound.Failure.
type Sender interface {
	// Send sends the call and returns the response.
	Send(ctx context.Context, c *Call, d *Dispatch) (*Reply, error)
	// Prefill prefills the prompt. The errors include ErrPrefillRejected and
	// ErrPrefillInvalid.
	Prefill(ctx context.Context, c *Call, d *Dispatch) (Prefilled, error)
	// Release frees a KV cache that will not be fetched.
	Release(ctx context.Context, e *endpoint.Endpoint, p Prefilled) error
	// Connected reports whether a send to the endpoint needs no new connection.
	Connected(e *endpoint.Endpoint, nonRepeatable bool) bool
	// Probe opens a connection to the endpoint and sends nothing. It returns
	// ErrEndpointDown if no process accepts connections there, and any other error if
	// that cannot be told.
	Probe(ctx context.Context, e *endpoint.Endpoint) error
}

// ErrEndpointDown reports that no process accepts connections at an endpoint's address.
var ErrEndpointDown = errors.New("endpoint accepts no connections")

// MalformedError reports a request whose header values cannot be parsed.
type MalformedError struct {
	// Code is a stable identifier. Message is one lower-case sentence.
	Code, Message string
}

// Error implements error.
func (e *MalformedError) Error() string { return e.Code + ": " + e.Message }

// Ingress parses callers' requests and identifies the responses.
type Ingress interface {
	// ParseCall parses the header of a request. The error is a *MalformedError,
	// and the call may then be partial.
	ParseCall(r *http.Request) (*Call, error)
	// SetRequestID adds the request's ID to the headers of a response that the
	// gateway itself generates.
	SetRequestID(h http.Header, c *Call)
}
