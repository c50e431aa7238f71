package backing

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/endtoend"
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
func NewHTTPService(base string, client *http.Client, options ...Option) *HTTPService {
	caller := NewCaller(base, client, append([]Option{WithMaxAnswer(maxServiceBodyBytes)}, options...)...)
	caller.client, caller.confirmSender = noReuseClient(caller.client), true
	return &HTTPService{caller: caller}
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return ServiceResponse{}, errors.Wrap(ErrRejected, "path does not start with a slash")
	}
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	req, sent, err := s.caller.newRequest(ctx, r.Method, r.Path, r.Body)
	if err != nil {
		return ServiceResponse{}, err
	}
	req.Header = serviceHeader(r)
	answer, err := s.caller.answer(req, sent)
	if err != nil {
		return ServiceResponse{}, err
	}
	return ServiceResponse{Held: answer.Held, Status: answer.status, Header: answer.header, Body: answer.body}, nil
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
