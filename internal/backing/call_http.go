package backing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/framing"
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
	response, err := c.exchange(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, decodeError(response.status, response.body)
	}
	return response.body, nil
}

// response is a whole response.
type response struct {
	status  int
	framing framing.Framing
	body    []byte
}

// Do sends one request and returns the response, whatever its status. The error
// is ErrUnavailable if no byte was sent, and ErrUnknown if the response was lost.
func (c Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (status int, respBody []byte, err error) {
	r, err := c.exchange(ctx, method, path, header, body)
	return r.status, r.body, err
}

// exchange is Do with the framing of the response.
func (c Caller) exchange(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	req, sent, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return response{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, c.handleTransportError(sent, err)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(framing.NewBody(resp, sent.unannouncedClose), maxResponseBytes+1))
	if err != nil {
		return response{}, c.handleTransportError(sent, err)
	}
	if len(respBody) > maxResponseBytes {
		return response{}, errors.Wrap(ErrUnknown, "answer above the limit")
	}
	return response{status: resp.StatusCode, framing: framing.Of(resp), body: respBody}, nil
}

// handleTransportError maps a transport error and closes idle connections, which
// may be broken like the one that failed.
func (c Caller) handleTransportError(sent *transmission, cause error) error {
	c.client.CloseIdleConnections()
	return transportError(sent, cause)
}

// newRequest returns a request that the transport cannot resend, and its transmission.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, *transmission, error) {
	sent := new(transmission)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { sent.conn.Store(&info.Conn) }}
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
func transportError(sent *transmission, cause error) error {
	if sent.started() {
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
