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

// maxAnswerBytes bounds the answer of a platform service.
const maxAnswerBytes = 64 << 20

// Caller sends calls to one service. The transport never repeats one.
type Caller struct {
	base   string
	client *http.Client
}

// NewCaller returns a caller of the service at a base URL. A nil client means one
// with NewTransport.
func NewCaller(base string, client *http.Client) Caller {
	return Caller{base: strings.TrimSuffix(base, "/"), client: newClient(client)}
}

// read sends a call without effect: whatever goes wrong, nothing happened.
func (c Caller) read(ctx context.Context, timeout time.Duration, path string, out any) error {
	err := c.exchange(ctx, timeout, http.MethodGet, path, nil, out)
	return WithoutEffect(err)
}

// write sends a call that may take effect.
func (c Caller) write(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	return c.exchange(ctx, timeout, http.MethodPost, path, body, out)
}

func (c Caller) exchange(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.raw(ctx, method, path, "application/json", body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &callError{kind: ErrUnknown, cause: err}
	}
	return nil
}

// raw sends one request and returns the body of a 200 answer.
func (c Caller) raw(ctx context.Context, method, path, contentType string, body []byte) ([]byte, error) {
	var header http.Header
	if body != nil {
		header = http.Header{"Content-Type": {contentType}}
	}
	status, answer, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, decodeError(status, answer)
	}
	return answer, nil
}

// Do sends one request and returns its answer, whatever its status. The error is
// ErrUnavailable if no byte was sent, and ErrUnknown if the answer was lost.
func (c Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (status int, answer []byte, err error) {
	req, sent, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, c.failed(sent, err)
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, c.failed(sent, err)
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, errors.Wrap(ErrUnknown, "answer above the limit")
	}
	return resp.StatusCode, answer, nil
}

// failed maps a transport error. Idle connections are closed, because they
// may be as dead as the one that failed.
func (c Caller) failed(sent *atomic.Bool, cause error) error {
	c.client.CloseIdleConnections()
	return transportError(sent, cause)
}

// newRequest returns a request that the transport cannot repeat, and a flag
// that is set before the first byte may have been sent.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, *atomic.Bool, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	var reader io.Reader = http.NoBody
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, reader)
	if err != nil {
		return nil, nil, errors.Wrap(ErrRejected, err.Error())
	}
	req.GetBody = nil
	return req, sent, nil
}

// transportError is ErrUnavailable if no byte was sent, else ErrUnknown.
func transportError(sent *atomic.Bool, cause error) error {
	if sent.Load() {
		return &callError{kind: ErrUnknown, cause: cause}
	}
	return &callError{kind: ErrUnavailable, cause: cause}
}

// WithoutEffect turns an unknown outcome into ErrUnavailable, for calls that
// change nothing.
func WithoutEffect(err error) error {
	if errors.Is(err, ErrUnknown) {
		return &callError{kind: ErrUnavailable, cause: errors.New(err.Error())}
	}
	return err
}
