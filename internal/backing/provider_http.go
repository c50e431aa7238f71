package backing

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

const providerTimeout = 10 * time.Second

// ReturnRequest is the JSON body of a request to return an endpoint.
type ReturnRequest struct {
	OrderID string `json:"order_id"`
	Fence   int64  `json:"fence"`
	Issuer  string `json:"issuer"`
}

// HTTPProvider implements Provider over HTTP with JSON bodies.
type HTTPProvider struct {
	caller Caller
}

var _ Provider = (*HTTPProvider)(nil)

// NewHTTPProvider returns an adapter that calls the provider at the base URL.
// If client is nil, it uses a client with NewTransport.
func NewHTTPProvider(base string, client *http.Client, options ...Option) *HTTPProvider {
	return &HTTPProvider{caller: NewCaller(base, client, options...)}
}

// Order implements Provider.
func (p *HTTPProvider) Order(ctx context.Context, order EndpointOrder) (ProvidedEndpoint, error) {
	var endpoint ProvidedEndpoint
	err := p.caller.postJSON(ctx, providerTimeout, "/v1/endpoints", order, &endpoint)
	return endpoint, err
}

// Return implements Provider.
func (p *HTTPProvider) Return(ctx context.Context, orderID string, fence int64, issuer string) error {
	call := ReturnRequest{OrderID: orderID, Fence: fence, Issuer: issuer}
	return p.caller.postJSON(ctx, providerTimeout, "/v1/endpoints/return", call, nil)
}

// Endpoints implements Provider.
func (p *HTTPProvider) Endpoints(ctx context.Context, pool string) ([]ProvidedEndpoint, error) {
	var endpoints []ProvidedEndpoint
	err := p.caller.getJSON(ctx, providerTimeout, "/v1/endpoints?pool="+url.QueryEscape(pool), &endpoints)
	return endpoints, err
}
