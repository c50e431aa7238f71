package backing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxResponseBytes limits the response body of a platform service, in bytes.
const maxResponseBytes = 64 << 20

// Caller sends HTTP requests to one platform service. The transport never
// resends a request.
type Caller struct {
	base   string
	client *http.Client
}

// NewCaller returns a Caller for the service at a base URL. If client is nil, it
// uses a client with NewTransport.
func NewCaller(base string, client *http.Client) Caller {
	return Caller{base: strings.TrimSuffix(base, "/"), client: newClient(client)}
}

// getJSON sends a GET request and decodes the JSON response into out. A read has
// no side effects, so ErrUnknown is returned as ErrUnavailable.
func (c Caller) getJSON(ctx context.Context, timeout time.Duration, path string, out any) error {
	err := c.doJSON(ctx, timeout, http.MethodGet, path, nil, out)
	return AsReadError(err)
}

// postJSON sends in as a JSON POST request, which may have side effects, and
// decodes the response into out.
func (c Caller) postJSON(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	return c.doJSON(ctx, timeout, http.MethodPost, path, body, out)
}

func (c Caller) doJSON(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	respBody, err := c.doOK(ctx, method, path, "application/json", body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return &callError{kind: ErrUnknown, cause: err}
	}
	return nil
}

// doOK sends one request and returns the body of a 200 response. Any other
// status is decoded as an error.
func (c Caller) doOK(ctx context.Context, method, path, contentType string, body []byte) ([]byte, error) {
	var header http.Header
	if body != nil {
		header = http.Header{"Content-Type": {contentType}}
	}
	status, respBody, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, decodeError(status, respBody)
	}
	return respBody, nil
}

// Do sends one request and returns the response, whatever its status. The error
// is ErrUnavailable if no byte was sent, and ErrUnknown if the response was lost.
func (c Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (status int, respBody []byte, err error) {
	req, sent, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, c.handleTransportError(sent, err)
	}
	defer resp.Body.Close()
	respBody, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, c.handleTransportError(sent, err)
	}
	if len(respBody) > maxResponseBytes {
		return 0, nil, errors.Wrap(ErrUnknown, "answer above the limit")
	}
	return resp.StatusCode, respBody, nil
}

// handleTransportError maps a transport error and closes idle connections, which
// may be broken like the one that failed.
func (c Caller) handleTransportError(sent *atomic.Bool, cause error) error {
	c.client.CloseIdleConnections()
	return transportError(sent, cause)
}

// newRequest returns a request that the transport cannot resend, and a flag that
// is set once a connection is assigned, before any byte can have been sent.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, *atomic.Bool, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	var reqBody io.Reader = http.NoBody
	if len(body) > 0 {
		reqBody = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, reqBody)
	if err != nil {
		return nil, nil, errors.Wrap(ErrRejected, err.Error())
	}
	req.GetBody = nil
	return req, sent, nil
}

// transportError returns ErrUnavailable if no byte was sent, else ErrUnknown.
func transportError(sent *atomic.Bool, cause error) error {
	if sent.Load() {
		return &callError{kind: ErrUnknown, cause: cause}
	}
	return &callError{kind: ErrUnavailable, cause: cause}
}

// AsReadError converts ErrUnknown to ErrUnavailable, for calls that have no side
// effects.
func AsReadError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return &callError{kind: ErrUnavailable, cause: errors.New(err.Error())}
	}
	return err
}
