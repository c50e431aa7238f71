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

// newServiceHost starts a test host with one service.
func newServiceHost(t *testing.T) (*testHost, *service.Service) {
	t.Helper()
	orders := service.New(service.Options{Name: "orders-1"})
	server := httptest.NewServer(orders.Handler())
	t.Cleanup(server.Close)
	host := newTestHost(t, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
	return host, orders
}

func TestServerReplaysRepeatedAtMostOnceCall(t *testing.T) {
	is := is.New(t)
	host, orders := newServiceHost(t)
	first := host.post(t, "/deposit", testKey, `{"amount":1}`, "Idempotency-Key", "k1")
	is.Equal(first.status, http.StatusOK)
	second := host.post(t, "/deposit", testKey, `{"amount":1}`, "Idempotency-Key", "k1")
	is.Equal(second.body, first.body)
	is.Equal(host.server.Stats().Replayed.Load(), int64(1))
	other := host.post(t, "/deposit", testKey, `{"amount":2}`, "Idempotency-Key", "k1")
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.header.Get(verdict.Header), "not-run")
	is.Equal(len(orders.Record().Calls), 1)
}

func TestServerForwardsNoAPIKeyToService(t *testing.T) {
	is := is.New(t)
	host, orders := newServiceHost(t)
	is.Equal(host.do(t, http.MethodGet, "/status/1", testKey, "", "X-Trace", "t").status, http.StatusOK)
	is.Equal(host.do(t, http.MethodGet, "/status/1", testKey, "", "X-Custom", "k="+testKey).status, http.StatusBadRequest)
	is.Equal(host.do(t, http.MethodGet, "/status/1?k="+testKey, testKey, "").status, http.StatusBadRequest)
	is.Equal(host.do(t, http.MethodGet, "/status/1?k=%73"+testKey[1:], testKey, "").status, http.StatusBadRequest)
	is.Equal(host.post(t, "/deposit", testKey, testKey).status, http.StatusBadRequest)
	is.Equal(host.do(t, http.MethodGet, "/open/1", "", "", "X-Api-Key", testKey).status, http.StatusOK)
	calls := orders.Record().Calls
	is.Equal(len(calls), 2)
	for _, call := range calls {
		for name, values := range call.Header {
			is.True(!strings.Contains(strings.Join(values, ","), testKey))
			is.True(name != "Authorization" && name != "X-Api-Key")
		}
	}
}

func TestServerRequiresAPIKeyOnProtectedRoute(t *testing.T) {
	is := is.New(t)
	host, orders := newServiceHost(t)
	is.Equal(host.do(t, http.MethodGet, "/status/1", "", "").status, http.StatusUnauthorized)
	is.Equal(host.do(t, http.MethodGet, "/status/1", "sk-wrong", "").status, http.StatusUnauthorized)
	is.Equal(host.do(t, http.MethodDelete, "/status/1", testKey, "").status, http.StatusMethodNotAllowed)
	is.Equal(len(orders.Record().Calls), 0)
}

// TestAtMostOnceVerdictMatchesServiceFailure checks that, for each way in which the
// service can fail, the verdict of an at-most-once call agrees with the recorded runs
// and that a repeat causes no second run.
func TestAtMostOnceVerdictMatchesServiceFailure(t *testing.T) {
	failures := map[string]service.Fault{
		"before the run":       {Kind: service.FaultCloseBefore},
		"in the response body": {Kind: service.FaultCloseMidBody},
		"after the run":        {Kind: service.FaultCloseAfter},
		"refused connection":   {},
	}
	for name, fault := range failures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			orders := service.New(service.Options{Name: "orders-1"})
			server := httptest.NewServer(orders.Handler())
			defer server.Close()
			host := newTestHost(t, map[string]agent.Options{"orders-1": {Service: backing.NewHTTPService(server.URL, nil)}})
			orders.SetFault(fault)
			if fault == (service.Fault{}) {
				server.Close()
			}
			response := host.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
			runs := orders.Record().RunsByKey["k"]
			is.True(runs <= 1)
			got := verdict.Parse(response.header.Get(verdict.Header))
			is.True(got != verdict.Ran)
			if got == verdict.NotRun {
				is.Equal(runs, 0)
			}
			is.Equal(got == verdict.NotRun, fault == (service.Fault{}))
			orders.SetFault(service.Fault{})
			repeat := host.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
			if got == verdict.MayHaveRun {
				is.Equal(repeat.header.Get(verdict.Header), "may-have-run")
			}
			is.True(orders.Record().RunsByKey["k"] <= 1)
		})
	}
}

// TestSessionLossDuringAtMostOnceCallMayHaveRun closes the session between the server
// and the agent while the service runs the call.
func TestSessionLossDuringAtMostOnceCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	blockedService := serviceFunc(func(context.Context) (backing.ServiceResponse, error) {
		started <- struct{}{}
		<-release
		return backing.ServiceResponse{Status: 200}, nil
	})
	host := newTestHost(t, map[string]agent.Options{"orders-1": {Service: blockedService}})
	go func() {
		<-started
		host.fleet.Session("orders-1").Close()
	}()
	response := host.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
	close(release)
	is.Equal(response.status, http.StatusBadGateway)
	is.Equal(response.header.Get(verdict.Header), "may-have-run")
}

// serviceFunc adapts a function to the service interface of an agent.
type serviceFunc func(context.Context) (backing.ServiceResponse, error)

func (f serviceFunc) Call(ctx context.Context, _ backing.ServiceRequest) (backing.ServiceResponse, error) {
	return f(ctx)
}

func TestAtMostOnceCallIsRefusedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	host, orders := newServiceHost(t)
	host.store.SetDown(true)
	defer host.store.SetDown(false)
	response := host.post(t, "/deposit", testKey, "{}", "Idempotency-Key", "k")
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.header.Get(verdict.Header), "not-run")
	is.Equal(len(orders.Record().Calls), 0)
}
