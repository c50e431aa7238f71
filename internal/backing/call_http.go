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

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/framing"
)

// maxResponseBytes limits the response body of a platform service by default, in bytes.
const maxResponseBytes = 64 << 20

// connBytes is the memory of the buffers of a call's connection.
const connBytes = 8 << 10

// Caller sends HTTP requests to one platform service. The transport never
// resends a request.
type Caller struct {
	base   string
	client *http.Client
	// answers bounds the answers held, of which those of sender are a part.
	answers *bodybudget.Shares
	sender  string
	// maxBytes is the maximum size of a response body.
	maxBytes int64
	// confirmSender makes an answer that ends with its connection fail if the process has
	// ended.
	confirmSender bool
}

// NewCaller returns a Caller for the service at a base URL. If client is nil, it
// uses a client with NewTransport. Without WithAnswers only the size of each answer is
// bounded.
func NewCaller(base string, client *http.Client, options ...Option) Caller {
	c := Caller{
		base: strings.TrimSuffix(base, "/"), client: newClient(client),
		answers: bodybudget.NewShares(0), sender: base, maxBytes: maxResponseBytes,
	}
	for _, option := range options {
		option(&c)
	}
	return c
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
	r, err := c.doOK(ctx, method, path, "application/json", body)
	defer r.Release()
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return &callError{kind: ErrUnknown, cause: err}
	}
	return nil
}

// doOK sends one request and returns a 200 response. Any other status is decoded as an
// error.
func (c Caller) doOK(ctx context.Context, method, path, contentType string, body []byte) (response, error) {
	var header http.Header
	if body != nil {
		header = http.Header{"Content-Type": {contentType}}
	}
	r, err := c.exchange(ctx, method, path, header, body)
	if err != nil {
		return response{}, err
	}
	if r.status != http.StatusOK {
		defer r.Release()
		return response{}, decodeError(r.status, r.body)
	}
	return r, nil
}

// response is a whole response.
type response struct {
	Held
	status  int
	header  http.Header
	framing framing.Framing
	body    []byte
}

// Do sends one request and returns the response, whatever its status. The error
// is ErrUnavailable if no byte was sent, and ErrUnknown if the response was lost.
func (c Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (status int, respHeader http.Header, respBody []byte, err error) {
	r, err := c.exchange(ctx, method, path, header, body)
	r.Release()
	return r.status, r.header, r.body, err
}

// exchange is Do with the framing of the response. The response must be released.
func (c Caller) exchange(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	req, sent, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return response{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	return c.answer(req, sent)
}

// answer sends the request and returns the response, which must be released.
func (c Caller) answer(req *http.Request, sent *transmission) (response, error) {
	held := Held{sent.head.reservation}
	resp, err := c.client.Do(req)
	sent.headRead()
	if err != nil {
		held.Release()
		return response{}, c.handleTransportError(sent, err)
	}
	defer resp.Body.Close()
	if !framing.IsFinal(resp.StatusCode) {
		held.Release()
		return response{}, c.handleTransportError(sent, framing.ErrStatus)
	}
	whole := framing.ConfirmRequest(framing.NewBody(resp, sent.unannouncedClose), framing.Of(resp), sent.requestCut)
	if c.confirmSender {
		whole = framing.ConfirmSender(whole, framing.Of(resp), func() bool { return c.ended(req.Context()) })
	}
	body, err := io.ReadAll(io.LimitReader(held.reservation.NewReader(whole), c.maxBytes+1))
	if err == nil && int64(len(body)) > c.maxBytes {
		err = ErrTooLong
	}
	if err != nil {
		held.Release()
		return response{}, c.handleTransportError(sent, err)
	}
	return response{Held: held, status: resp.StatusCode, header: resp.Header, framing: framing.Of(resp), body: body}, nil
}

// handleTransportError maps a transport error and closes idle connections, which
// may be broken like the one that failed.
func (c Caller) handleTransportError(sent *transmission, cause error) error {
	c.client.CloseIdleConnections()
	return transportError(sent, cause)
}

// newRequest returns a request that the transport cannot resend, and its transmission. It
// refuses a request whose answer could not be held.
func (c Caller) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, *transmission, error) {
	reservation := c.answers.NewReservation(c.sender)
	sent := &transmission{head: headMeter{reservation: reservation}, written: make(chan struct{})}
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { sent.use(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.wrote(info.Err) },
	}
	var reqBody io.Reader = http.NoBody
	if len(body) > 0 {
		reqBody = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, reqBody)
	if err != nil {
		return nil, nil, errors.Wrap(ErrRejected, err.Error())
	}
	req.GetBody = nil
	if reservation.Grow(connBytes) != nil {
		return nil, nil, &callError{kind: ErrUnavailable, cause: bodybudget.ErrExhausted}
	}
	return req, sent, nil
}

// transportError returns ErrUnavailable if no byte was sent, else ErrUnknown.
func transportError(sent *transmission, cause error) error {
	if cut := sent.head.err.Load(); cut != nil {
		cause = *cut
	}
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
