package backing

import (
	"context"
	"net/http"
	"time"
)

const usageTimeout = 10 * time.Second

// HTTPUsageSink implements UsageSink over HTTP with JSON bodies.
type HTTPUsageSink struct {
	caller Caller
}

var _ UsageSink = (*HTTPUsageSink)(nil)

// NewHTTPUsageSink returns an adapter that reports to the base URL. If client
// is nil, it uses a client with NewTransport.
func NewHTTPUsageSink(base string, client *http.Client, options ...Option) *HTTPUsageSink {
	return &HTTPUsageSink{caller: NewCaller(base, client, options...)}
}

// Report implements UsageSink.
func (u *HTTPUsageSink) Report(ctx context.Context, r UsageReport) error {
	return u.caller.postJSON(ctx, usageTimeout, "/v1/usage", r, nil)
}
