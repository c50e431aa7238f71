package backing

import (
	"context"
	"net/http"
	"time"
)

const hostListTimeout = 5 * time.Second

// HTTPHostList is the adapter of HostList to HTTP with JSON bodies.
type HTTPHostList struct {
	caller Caller
}

var _ HostList = (*HTTPHostList)(nil)

// NewHTTPHostList returns an adapter that reads the list at the base URL. A
// nil client means one with NewTransport.
func NewHTTPHostList(base string, client *http.Client) *HTTPHostList {
	return &HTTPHostList{caller: NewCaller(base, client)}
}

// Hosts implements HostList.
func (h *HTTPHostList) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := h.caller.read(ctx, hostListTimeout, "/v1/hosts", &hosts)
	return hosts, err
}
