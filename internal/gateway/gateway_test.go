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
)

func TestAnAnswerIsRelayedAsItIs(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusCreated, "body"), nil }
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "body")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(s.usage.began, 1)
	is.Equal(s.sends[0].Workspace, "w")
}

// Each refusal before a send says that the request has not run.
func TestRefusals(t *testing.T) {
	send := func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, "ok"), nil }
	for _, c := range []struct {
		name    string
		prepare func(s *site)
		path    string
		header  []string
		status  int
		code    string
	}{
		{"no configuration", nil, "/once/x", nil, http.StatusServiceUnavailable, "no_configuration"},
		{"no route", func(s *site) { s.configure() }, "/none/x", nil, http.StatusNotFound, "no_route"},
		{"unknown key", func(s *site) { s.configure() }, "/once/x", []string{"Key", "other"}, http.StatusUnauthorized, "unknown_key"},
		{"stale", func(s *site) {
			s.configure()
			s.holder.Offer(2, s.holder.Current()) // newer, and not confirmed
			s.holder = catalog.NewHolder(lease.SystemClock{}, time.Nanosecond)
			s.holder.Offer(1, s.gateway.o.Catalog.Current())
			s.gateway.o.Catalog = s.holder
		}, "/once/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"stale, unknown route", func(s *site) {
			s.configure()
			h := catalog.NewHolder(lease.SystemClock{}, time.Nanosecond)
			h.Offer(1, s.holder.Current())
			s.gateway.o.Catalog = h
		}, "/none/x", nil, http.StatusServiceUnavailable, "stale_configuration"},
		{"over the rate", func(s *site) { s.configure().quota.taken = 1_000_000 }, "/stream/x", []string{"Prompt", "5"}, http.StatusTooManyRequests, "rate_limited"},
		{"ending", func(s *site) { s.configure(); s.ending, s.left = true, time.Second }, "/stream/x", nil, http.StatusServiceUnavailable, "host_ending"},
		{"no endpoint", func(s *site) { s.configure().endpoints.Replace(time.Now(), 0, nil) }, "/once/x", nil, http.StatusServiceUnavailable, "no_endpoint"},
		{"too late", func(s *site) { s.configure() }, "/stream/x", []string{"Prompt", "900000"}, http.StatusServiceUnavailable, "too_late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.send = send
			if c.prepare != nil {
				c.prepare(s)
			}
			w := s.ask(c.path, c.header...)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), `"code":"`+c.code+`"`))
			is.True(strings.Contains(w.Body.String(), `"verdict":"not-run"`))
			is.Equal(w.Header().Get("Id"), "7")
			is.Equal(len(s.sends), 0)
			is.Equal(c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests, w.Header().Get("Retry-After") != "")
		})
	}
}

// A request that may run once is not sent again after it may have run, and is
// then never called "not run".
func TestOnceIsSentOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errLost }
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get("Retry-After"), "")
	is.Equal(len(s.sends), 1)
}

func TestARejectedRequestGoesToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return rejected(), nil
		}
		return reply(http.StatusOK, "ok"), nil
	}
	is.Equal(s.ask("/once/x").Code, http.StatusOK)
	is.Equal(len(s.sends), 2)
	is.True(s.sends[0].Endpoint.ID != s.sends[1].Endpoint.ID)
}

// A rejection after the request may have run elsewhere is no "not run".
func TestRejectedAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		if n == 1 {
			return nil, errLost
		}
		return rejected(), nil
	}
	is.Equal(s.ask("/read/x").Code, http.StatusBadGateway)
}

// A repeatable request whose endpoint failed is tried once more, within its
// attempts; the last endpoint's own failure is what the caller gets.
func TestARepeatableRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		return reply(http.StatusInternalServerError, "own failure"), nil
	}
	w := s.ask("/read/x")
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Body.String(), "own failure")
	is.Equal(w.Header().Get("Seal"), "s")
	is.Equal(len(s.sends), 2)
}

func TestTheBudgetBoundsRepeats(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.gateway.o.Budget = NewBudget(time.Now(), 0, 10*time.Second, func() float64 { return 1 })
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return nil, errLost }
	for range 3 {
		s.ask("/read/x")
	}
	is.Equal(len(s.sends), 4)
}

func TestAForeignAnswerIsNotRelayed(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) {
		r := reply(http.StatusOK, "other")
		r.Authentic = false
		return r, nil
	}
	w := s.ask("/once/x")
	is.Equal(w.Code, http.StatusBadGateway)
	is.True(!strings.Contains(w.Body.String(), "other"))
}

// A caller waits a moment for tokens rather than being sent away.
func TestARequestWaitsAMomentForItsRate(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.quota.short = 3
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return reply(http.StatusOK, events), nil }
	is.Equal(s.ask("/stream/x", "Prompt", "50").Code, http.StatusOK)
}

func TestTokensOfARequestThatDidNotRunAreGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(int, context.Context, *Dispatch) (*Reply, error) { return rejected(), nil }
	is.Equal(s.ask("/stream/x", "Prompt", "50").Code, http.StatusServiceUnavailable)
	is.Equal(s.quota.taken, int64(60))
	is.Equal(s.quota.given, int64(60))
}

// What is passed on never outlasts the caller's own deadline or the route's.
func TestEndpointsGetTheTimeThatIsLeft(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	s.send = func(n int, _ context.Context, _ *Dispatch) (*Reply, error) {
		time.Sleep(30 * time.Millisecond)
		if n%2 == 1 {
			return rejected(), nil
		}
		return reply(http.StatusOK, "ok"), nil
	}
	s.ask("/once/x", "Patience", "500")
	is.True(s.sends[0].Left <= 500*time.Millisecond)
	is.True(s.sends[1].Left <= s.sends[0].Left-30*time.Millisecond)
	s.ask("/once/x", "Patience", "60000")
	is.True(s.sends[2].Left <= 2*time.Second) // the route's
}

// A caller that leaves ends the work at the endpoint at once.
func TestACallerThatLeavesEndsTheSend(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	begun, ended := make(chan struct{}), make(chan struct{})
	s.send = func(_ int, ctx context.Context, _ *Dispatch) (*Reply, error) {
		close(begun)
		<-ctx.Done()
		close(ended)
		return nil, errLost
	}
	server := httptest.NewServer(s.gateway)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	<-begun
	is.NoErr(c.Close())
	<-ended
}

func TestABodyOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t).configure()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/x", strings.NewReader(strings.Repeat("x", 101)))
	r.Host = "h"
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	s.gateway.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.Equal(len(s.sends), 0)
}
