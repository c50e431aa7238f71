package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/termination"
)

func TestPlainResponseIsRelayedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return newReply(http.StatusCreated, "body"), nil
	}
	w := f.serve("/once/x")
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "body")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(f.usage.requests, 1)
	is.Equal(f.sends[0].Workspace, "w")
}

// Every refusal before a send has the verdict "not-run". It has a Retry-After
// exactly if its status is 503 or 429.
func TestRefusalsAreNotRun(t *testing.T) {
	send := func(int, context.Context, *Dispatch) (*Reply, error) { return newReply(http.StatusOK, "ok"), nil }
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		path    string
		header  []string
		status  int
		code    string
	}{
		{"no configuration", nil, "/once/x", nil, http.StatusServiceUnavailable, "no_configuration"},
		{"no route", func(f *fixture) { f.configure() }, "/none/x", nil, http.StatusNotFound, "no_route"},
		{"unknown key", func(f *fixture) { f.configure() }, "/once/x", []string{"Key", "other"}, http.StatusUnauthorized, "unknown_key"},
		{"stale", func(f *fixture) {
			f.configure()
			f.catalog.Update(2, f.catalog.Current()) // newer, but not confirmed
			f.catalog = catalog.NewCache(lease.SystemClock{}, time.Nanosecond)
			f.catalog.Update(1, f.gateway.opts.Catalog.Current())
			f.gateway.opts.Catalog = f.catalog
		}, "/once/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"stale, unknown route", func(f *fixture) {
			f.configure()
			h := catalog.NewCache(lease.SystemClock{}, time.Nanosecond)
			h.Update(1, f.catalog.Current())
			f.gateway.opts.Catalog = h
		}, "/none/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"over the rate", func(f *fixture) { f.configure().quota.reserved = 1_000_000 }, "/stream/x", []string{"Prompt", "5"}, http.StatusTooManyRequests, "rate_limited"},
		{"ending", func(f *fixture) {
			f.configure()
			f.termination.Begin(termination.NewPlan(time.Now().Add(-7*time.Second), 8*time.Second))
		}, "/stream/x", nil, http.StatusServiceUnavailable, "host_ending"},
		{"no endpoint", func(f *fixture) { f.configure().endpoints.Replace(time.Now(), 0, nil) }, "/once/x", nil, http.StatusServiceUnavailable, "no_endpoint"},
		{"too late", func(f *fixture) { f.configure() }, "/stream/x", []string{"Prompt", "900000"}, http.StatusServiceUnavailable, "too_late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.send = send
			if c.prepare != nil {
				c.prepare(f)
			}
			w := f.serve(c.path, c.header...)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), `"code":"`+c.code+`"`))
			is.True(strings.Contains(w.Body.String(), `"verdict":"not-run"`))
			is.Equal(w.Header().Get("Id"), "7")
			is.Equal(len(f.sends), 0)
			is.Equal(c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests, w.Header().Get("Retry-After") != "")
		})
	}
}

// A request that must run at most once is not sent again once it may have run,
// and its error is then never "not-run".
func TestNonRepeatableRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errEndpointLost }
	w := f.serve("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get("Retry-After"), "")
	is.Equal(len(f.sends), 1)
}

func TestRejectedRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return rejectedReply(), nil
		}
		return newReply(http.StatusOK, "ok"), nil
	}
	is.Equal(f.serve("/once/x").Code, http.StatusOK)
	is.Equal(len(f.sends), 2)
	is.True(f.sends[0].Endpoint.ID != f.sends[1].Endpoint.ID)
}

// The verdict of a rejection is not "not-run" if an earlier send of the request
// may have run.
func TestRejectionAfterPossibleRunIsNotNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return nil, errEndpointLost
		}
		return rejectedReply(), nil
	}
	is.Equal(f.serve("/read/x").Code, http.StatusBadGateway)
}

// A repeatable request whose endpoint failed is retried within its attempts. If
// all fail, the caller gets the error response of the last endpoint.
func TestRepeatableRequestIsRetriedAfterEndpointFailure(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return newReply(http.StatusInternalServerError, "own failure"), nil
	}
	w := f.serve("/read/x")
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Body.String(), "own failure")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(len(f.sends), 2)
}

func TestBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.gateway.opts.Budget = NewRetryBudget(time.Now(), 0, 10*time.Second, func() float64 { return 1 })
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errEndpointLost }
	for range 3 {
		f.serve("/read/x")
	}
	is.Equal(len(f.sends), 4)
}

func TestUnauthenticResponseIsNotRelayed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		r := newReply(http.StatusOK, "other")
		r.Authentic = false
		return r, nil
	}
	w := f.serve("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.True(!strings.Contains(w.Body.String(), "other"))
}

// A request waits briefly for tokens of its workspace's rate limit before it is
// refused.
func TestRequestWaitsForQuota(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.quota.refusals = 3
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return newReply(http.StatusOK, sampleEvents), nil
	}
	is.Equal(f.serve("/stream/x", "Prompt", "50").Code, http.StatusOK)
}

func TestQuotaIsRefundedWhenRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	f.send = func(int, context.Context, *Dispatch) (*Reply, error) { return rejectedReply(), nil }
	is.Equal(f.serve("/stream/x", "Prompt", "50").Code, http.StatusServiceUnavailable)
	is.Equal(f.quota.reserved, int64(60))
	is.Equal(f.quota.refunded, int64(60))
}

// The time limit that is passed to the endpoint never exceeds the caller's
// deadline or the route's timeout.
func TestDispatchCarriesRemainingTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	var left []time.Duration
	f.send = func(n int, _ context.Context, d *Dispatch) (*Reply, error) {
		left = append(left, time.Until(d.Expires))
		time.Sleep(30 * time.Millisecond)
		if n%2 == 1 {
			return rejectedReply(), nil
		}
		return newReply(http.StatusOK, "ok"), nil
	}
	f.serve("/once/x", "Patience", "500")
	is.True(left[0] <= 500*time.Millisecond)
	is.True(left[1] <= left[0]-30*time.Millisecond)
	f.serve("/once/x", "Patience", "60000")
	is.True(left[2] <= 2*time.Second) // the route's timeout
}

// When the caller disconnects, the request at the endpoint is canceled
// immediately.
func TestCallerDisconnectCancelsSend(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	started, canceled := make(chan struct{}), make(chan struct{})
	f.send = func(_ int, ctx context.Context, _ *Dispatch) (*Reply, error) {
		close(started)
		<-ctx.Done()
		close(canceled)
		return nil, errEndpointLost
	}
	server := httptest.NewServer(f.gateway)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	<-started
	is.NoErr(c.Close())
	<-canceled
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).configure()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/x", strings.NewReader(strings.Repeat("x", 101)))
	r.Host = "h"
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.Equal(len(f.sends), 0)
}
