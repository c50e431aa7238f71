package backing

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	cancelTimeout = 2 * time.Second
	loadTimeout   = 2 * time.Second
	// applyTimeout bounds an order; loads of large models take long.
	applyTimeout = 10 * time.Minute
	kvTimeout    = 30 * time.Second
)

// HTTPEngine is the adapter of Engine to HTTP, with streams as lines of JSON.
type HTTPEngine struct {
	caller Caller
	// fresh sends orders, each on its own connection, so that a dead idle
	// connection never makes an order's outcome unknown.
	fresh Caller
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns an adapter that calls the engine at the base URL. A
// nil client means one with NewTransport.
func NewHTTPEngine(base string, client *http.Client) *HTTPEngine {
	caller := NewCaller(base, client)
	fresh := Caller{base: caller.base, client: freshClient(caller.client)}
	return &HTTPEngine{caller: caller, fresh: fresh}
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, id string) error {
	return e.caller.write(ctx, cancelTimeout, "/v1/cancel", CancelCall{ID: id}, nil)
}

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.caller.read(ctx, loadTimeout, "/v1/load", &load)
	return load, err
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := e.caller.read(ctx, loadTimeout, path, &events)
	return events, err
}

// Apply implements Engine.
func (e *HTTPEngine) Apply(ctx context.Context, o Order) error {
	return e.fresh.write(ctx, applyTimeout, "/v1/orders", o, nil)
}

// ExportKV implements Engine.
func (e *HTTPEngine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	value, err := e.caller.raw(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(id), "", nil)
	return value, WithoutEffect(err)
}

// ImportKV implements Engine.
func (e *HTTPEngine) ImportKV(ctx context.Context, handle string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	_, err := e.caller.raw(ctx, http.MethodPost, "/v1/kv/"+url.PathEscape(handle), "application/octet-stream", value)
	return err
}
