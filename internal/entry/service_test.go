package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/acacialink/acacialink/internal/verdict"
)

// newOrders starts a site before one plain service.
func newOrders(t *testing.T) (*site, *service.Service) {
	t.Helper()
	orders := service.New(service.Options{Name: "orders-1"})
	server := httptest.NewServer(orders.Handler())
	t.Cleanup(server.Close)
	s := newSite(t, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	return s, orders
}

func TestRepeatOfADepositIsAnsweredFromTheRecord(t *testing.T) {
	is := is.New(t)
	s, orders := newOrders(t)
	first := s.post(t, "/deposit", testKey, `{"amount":1}`, "Idempotency-Key", "k1")
	is.Equal(first.status, http.StatusOK)
	second := s.post(t, "/deposit", testKey, `{"amount":1}`, "Idempotency-Key", "k1")
	is.Equal(second.body, first.body)
	is.Equal(s.server.Stats().Replayed.Load(), int64(1))
	other := s.post(t, "/deposit", testKey, `{"amount":2}`, "Idempotency-Key", "k1")
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.header.Get(verdict.Header), "not-run")
	is.Equal(len(orders.Record().Calls), 1)
}

func TestNoKeyReachesAService(t *testing.T) {
	is := is.New(t)
	s, orders := newOrders(t)
	is.Equal(s.do(t, http.MethodGet, "/status/1", testKey, "", "X-Trace", "t").status, http.StatusOK)
	is.Equal(s.do(t, http.MethodGet, "/status/1", testKey, "", "X-Custom", "k="+testKey).status, http.StatusBadRequest)
	is.Equal(s.do(t, http.MethodGet, "/status/1?k="+testKey, testKey, "").status, http.StatusBadRequest)
	is.Equal(s.do(t, http.MethodGet, "/status/1?k=%73"+testKey[1:], testKey, "").status, http.StatusBadRequest)
	is.Equal(s.post(t, "/deposit", testKey, testKey).status, http.StatusBadRequest)
	is.Equal(s.do(t, http.MethodGet, "/open/1", "", "", "X-Api-Key", testKey).status, http.StatusOK)
	calls := orders.Record().Calls
	is.Equal(len(calls), 2)
	for _, call := range calls {
		for name, values := range call.Header {
			is.True(!strings.Contains(strings.Join(values, ","), testKey))
			is.True(name != "Authorization" && name != "X-Api-Key")
		}
	}
}

func TestKeyedRouteNeedsAKey(t *testing.T) {
	is := is.New(t)
	s, orders := newOrders(t)
	is.Equal(s.do(t, http.MethodGet, "/status/1", "", "").status, http.StatusUnauthorized)
	is.Equal(s.do(t, http.MethodGet, "/status/1", "sk-wrong", "").status, http.StatusUnauthorized)
	is.Equal(s.do(t, http.MethodDelete, "/status/1", testKey, "").status, http.StatusMethodNotAllowed)
	is.Equal(len(orders.Record().Calls), 0)
}

// TestVerdictsOfDepositsInEachCut sends deposits while the service fails in
// each way, and compares what callers were told with what ran.
func TestVerdictsOfDepositsInEachCut(t *testing.T) {
	cuts := map[string]service.Fault{
		"before the run":       {Kind: service.FaultCloseBefore},
		"in the answer's body": {Kind: service.FaultCloseMidBody},
		"after the run":        {Kind: service.FaultCloseAfter},
		"refused connection":   {},
	}
	for name, fault := range cuts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			orders := service.New(service.Options{Name: "orders-1"})
			server := httptest.NewServer(orders.Handler())
			defer server.Close()
			s := newSite(t, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
			orders.SetFault(fault)
			if fault == (service.Fault{}) {
				server.Close()
			}
			a := s.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
			runs := orders.Record().RunsByKey["k"]
			is.True(runs <= 1)
			got := verdict.Parse(a.header.Get(verdict.Header))
			is.True(got != verdict.Ran)
			if got == verdict.NotRun {
				is.Equal(runs, 0)
			}
			is.Equal(got == verdict.NotRun, fault == (service.Fault{}))
			orders.SetFault(service.Fault{})
			again := s.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
			if got == verdict.MayHaveRun {
				is.Equal(again.header.Get(verdict.Header), "may-have-run")
			}
			is.True(orders.Record().RunsByKey["k"] <= 1)
		})
	}
}

// TestAgentKilledInADeposit cuts the session between entry and agent.
func TestAgentKilledInADeposit(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	begun := make(chan struct{}, 1)
	held := serviceFunc(func(context.Context) (backing.ServiceResponse, error) {
		begun <- struct{}{}
		<-hold
		return backing.ServiceResponse{Status: 200}, nil
	})
	s := newSite(t, map[string]agent.Options{"orders-1": {Service: held}})
	go func() {
		<-begun
		s.fleet.Session("orders-1").Close()
	}()
	a := s.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
	close(hold)
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(a.header.Get(verdict.Header), "may-have-run")
}

type serviceFunc func(context.Context) (backing.ServiceResponse, error)

func (f serviceFunc) Call(ctx context.Context, _ backing.ServiceRequest) (backing.ServiceResponse, error) {
	return f(ctx)
}

func TestDepositIsRefusedWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	s, orders := newOrders(t)
	s.store.SetDown(true)
	defer s.store.SetDown(false)
	a := s.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.header.Get(verdict.Header), "not-run")
	is.Equal(len(orders.Record().Calls), 0)
}
