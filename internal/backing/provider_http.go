package backing

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

const providerTimeout = 10 * time.Second

// ReturnCall is the body of a return of an endpoint.
type ReturnCall struct {
	OrderID string `json:"order_id"`
	Fence   int64  `json:"fence"`
	Issuer  string `json:"issuer"`
}

// HTTPProvider is the adapter of Provider to HTTP with JSON bodies.
type HTTPProvider struct {
	caller Caller
}

var _ Provider = (*HTTPProvider)(nil)

// NewHTTPProvider returns an adapter that calls the provider at the base URL.
// A nil client means one with NewTransport.
func NewHTTPProvider(base string, client *http.Client) *HTTPProvider {
	return &HTTPProvider{caller: NewCaller(base, client)}
}

// Order implements Provider.
func (p *HTTPProvider) Order(ctx context.Context, o EndpointOrder) (ProvidedEndpoint, error) {
	var e ProvidedEndpoint
	err := p.caller.write(ctx, providerTimeout, "/v1/endpoints", o, &e)
	return e, err
}

// Return implements Provider.
func (p *HTTPProvider) Return(ctx context.Context, orderID string, fence int64, issuer string) error {
	call := ReturnCall{OrderID: orderID, Fence: fence, Issuer: issuer}
	return p.caller.write(ctx, providerTimeout, "/v1/endpoints/return", call, nil)
}

// Provided implements Provider.
func (p *HTTPProvider) Provided(ctx context.Context, pool string) ([]ProvidedEndpoint, error) {
	var list []ProvidedEndpoint
	err := p.caller.read(ctx, providerTimeout, "/v1/endpoints?pool="+url.QueryEscape(pool), &list)
	return list, err
}
