package backing

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/framing"
)

const (
	cancelTimeout = 2 * time.Second
	loadTimeout   = 2 * time.Second
	// applyTimeout limits one order; loading a large model takes long.
	applyTimeout = 10 * time.Minute
	kvTimeout    = 30 * time.Second
	// maxReportBytes limits all answers of an engine but a generation and a KV cache.
	maxReportBytes = 1 << 20
)

// HTTPEngine implements Engine over HTTP. Streams are lines of JSON.
type HTTPEngine struct {
	// caller is for answers that are short: a load report stays in memory and goes to all
	// entry hosts.
	caller Caller
	// kvCaller exports KV caches.
	kvCaller Caller
	// newConnCaller sends each order and generation on a new connection, so that a
	// broken idle connection cannot make the outcome of an order unknown, and no late
	// copy of another response can be taken for a generation.
	newConnCaller Caller
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns an adapter that calls the engine at the base URL. If
// client is nil, it uses a client with NewTransport.
func NewHTTPEngine(base string, client *http.Client, options ...Option) *HTTPEngine {
	caller := NewCaller(base, client, options...)
	kvCaller := caller
	caller.maxBytes = maxReportBytes
	newConnCaller := caller
	newConnCaller.client = noReuseClient(caller.client)
	return &HTTPEngine{caller: caller, kvCaller: kvCaller, newConnCaller: newConnCaller}
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, id string) error {
	return e.caller.postJSON(ctx, cancelTimeout, "/v1/cancel", CancelRequest{ID: id}, nil)
}

// Probe opens a connection to the engine and sends nothing. It returns ErrEnded if the
// engine's process has ended.
func (e *HTTPEngine) Probe(ctx context.Context) error { return e.caller.probe(ctx) }

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.caller.getJSON(ctx, loadTimeout, "/v1/load", &load)
	return load, err
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := e.caller.getJSON(ctx, loadTimeout, path, &events)
	return events, err
}

// Apply implements Engine.
func (e *HTTPEngine) Apply(ctx context.Context, order Order) error {
	return e.newConnCaller.postJSON(ctx, applyTimeout, "/v1/orders", order, nil)
}

// ExportKV implements Engine.
func (e *HTTPEngine) ExportKV(ctx context.Context, id string) (KVCache, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	r, err := e.kvCaller.exchange(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(id), nil, nil)
	switch {
	case err != nil:
		return KVCache{}, AsReadError(err)
	case r.status != http.StatusOK:
		defer r.Release()
		return KVCache{}, AsReadError(decodeError(r.status, r.body))
	case r.framing == framing.Connection:
		// The bytes of a cache do not tell where they end.
		r.Release()
		return KVCache{}, errors.Wrap(ErrUnavailable, "the KV cache came without a length")
	}
	return KVCache{Held: r.Held, Value: r.body}, nil
}

// ImportKV implements Engine.
func (e *HTTPEngine) ImportKV(ctx context.Context, handle string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	r, err := e.caller.doOK(ctx, http.MethodPost, "/v1/kv/"+url.PathEscape(handle), "application/octet-stream", value)
	r.Release()
	return err
}
