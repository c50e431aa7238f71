package backing

import (
	"context"
	"net/http"
	"time"
)

const hostListTimeout = 5 * time.Second

// HTTPHostList implements HostList over HTTP with JSON bodies.
type HTTPHostList struct {
	caller Caller
}

var _ HostList = (*HTTPHostList)(nil)

// NewHTTPHostList returns an adapter that reads the list at the base URL. If
// client is nil, it uses a client with NewTransport.
func NewHTTPHostList(base string, client *http.Client, options ...Option) *HTTPHostList {
	return &HTTPHostList{caller: NewCaller(base, client, options...)}
}

// Hosts implements HostList.
func (h *HTTPHostList) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := h.caller.getJSON(ctx, hostListTimeout, "/v1/hosts", &hosts)
	return hosts, err
}
