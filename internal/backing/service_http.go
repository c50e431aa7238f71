package backing

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endtoend"
)

const (
	// serviceTimeout bounds a call whose context has no earlier deadline.
	serviceTimeout      = 60 * time.Second
	maxServiceBodyBytes = 16 << 20
	requestIDHeader     = "X-Request-Id"
)

// withheldHeaders never reach a service beside those that belong to one
// connection: headers that carry keys.
var withheldHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Host"}

// HTTPService is the adapter of Service to a plain HTTP service.
type HTTPService struct {
	caller Caller
	// once sends the calls that may run at most once. Each gets a new
	// connection: the transport repeats requests on reused ones by itself when
	// they carry an Idempotency-Key header, and a caller may send that header.
	once *http.Client
}

var _ Service = (*HTTPService)(nil)

// NewHTTPService returns an adapter that calls the service at the base URL. A
// nil client means one with NewTransport.
func NewHTTPService(base string, client *http.Client) *HTTPService {
	caller := NewCaller(base, client)
	return &HTTPService{caller: caller, once: freshClient(caller.client)}
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return ServiceResponse{}, errors.Wrap(ErrRejected, "path without a slash")
	}
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	req, sent, err := newRequest(ctx, r.Method, s.caller.base+r.Path, r.Body)
	if err != nil {
		return ServiceResponse{}, err
	}
	req.Header = serviceHeader(r)
	resp, err := s.clientFor(r).Do(req)
	if err != nil {
		return ServiceResponse{}, s.caller.failed(sent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBodyBytes+1))
	if err != nil {
		return ServiceResponse{}, s.caller.failed(sent, err)
	}
	if len(body) > maxServiceBodyBytes {
		return ServiceResponse{}, errors.Wrap(ErrUnknown, "answer above the limit")
	}
	return ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (s *HTTPService) clientFor(r ServiceRequest) *http.Client {
	if r.Idempotent {
		return s.caller.client
	}
	return s.once
}

func serviceHeader(r ServiceRequest) http.Header {
	header := make(http.Header, len(r.Header)+1)
	for name, values := range r.Header {
		header[http.CanonicalHeaderKey(name)] = values
	}
	header = endtoend.Header(header, withheldHeaders, nil)
	header.Set(requestIDHeader, r.ID)
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	return header
}
