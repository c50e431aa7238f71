package backing

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endtoend"
	"github.com/acacialink/acacialink/internal/framing"
)

const (
	// serviceTimeout limits a call whose context has no earlier deadline.
	serviceTimeout      = 60 * time.Second
	maxServiceBodyBytes = 16 << 20
	requestIDHeader     = "X-Request-Id"
)

// blockedHeaders are removed from requests to a service, in addition to the
// hop-by-hop headers: headers that carry credentials, and Host.
var blockedHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Host"}

// HTTPService implements Service for a plain HTTP service.
type HTTPService struct {
	// caller sends each request on a new connection. On a reused one the transport
	// resends requests with an Idempotency-Key header by itself, and a caller may
	// send that header; and a second copy of the last response could be taken for
	// the response to the next request, because services send no request ID.
	caller Caller
}

var _ Service = (*HTTPService)(nil)

// NewHTTPService returns an adapter that calls the service at the base URL. If
// client is nil, it uses a client with NewTransport.
func NewHTTPService(base string, client *http.Client) *HTTPService {
	caller := NewCaller(base, client)
	caller.client = noReuseClient(caller.client)
	return &HTTPService{caller: caller}
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return ServiceResponse{}, errors.Wrap(ErrRejected, "path does not start with a slash")
	}
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	req, sent, err := newRequest(ctx, r.Method, s.caller.base+r.Path, r.Body)
	if err != nil {
		return ServiceResponse{}, err
	}
	req.Header = serviceHeader(r)
	resp, err := s.caller.client.Do(req)
	if err != nil {
		return ServiceResponse{}, s.caller.handleTransportError(sent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(framing.NewBody(resp, sent.unannouncedClose), maxServiceBodyBytes+1))
	if err != nil {
		return ServiceResponse{}, s.caller.handleTransportError(sent, err)
	}
	if len(body) > maxServiceBodyBytes {
		return ServiceResponse{}, errors.Wrap(ErrUnknown, "answer above the limit")
	}
	return ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func serviceHeader(r ServiceRequest) http.Header {
	header := make(http.Header, len(r.Header)+1)
	for name, values := range r.Header {
		header[http.CanonicalHeaderKey(name)] = values
	}
	header = endtoend.Header(header, blockedHeaders, nil)
	header.Set(requestIDHeader, r.ID)
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // Prevents net/http from adding its default.
	}
	return header
}
