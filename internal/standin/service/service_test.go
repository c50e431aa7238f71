package service_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/service"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestServiceRecordsExecutionUnderEachFault(t *testing.T) {
	cases := []struct {
		fault service.Fault
		runs  int
		err   error
	}{
		{service.Fault{}, 1, nil},
		{service.Fault{Kind: service.FaultCloseBefore}, 0, backing.ErrUnknown},
		{service.Fault{Kind: service.FaultCloseAfter}, 1, backing.ErrUnknown},
		{service.Fault{Kind: service.FaultCloseMidBody}, 1, backing.ErrUnknown},
		{service.Fault{Kind: service.FaultStatusNoRun, Status: 503}, 0, nil},
		{service.Fault{Kind: service.FaultStatusWithRun, Status: 500}, 1, nil},
		{service.Fault{Kind: service.FaultCloseAfter, PathPrefix: "/other"}, 1, nil},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind)+c.fault.PathPrefix, func(t *testing.T) {
			is := is.New(t)
			s := service.New(service.Options{Name: "orders"})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			s.SetFault(c.fault)
			_, err := backing.NewHTTPService(server.URL, nil).Call(t.Context(), backing.ServiceRequest{
				ID: "r", Method: http.MethodPost, Path: "/payments", Body: []byte("1 lantern"),
				Header: map[string][]string{"Idempotency-Key": {"k"}},
			})
			is.True(errors.Is(err, c.err))
			is.Equal(s.Record().RunsByRequest["r"], c.runs)
			is.Equal(s.Record().RunsByKey["k"], c.runs)
			is.Equal(len(s.Record().Calls), 1)
		})
	}
}
