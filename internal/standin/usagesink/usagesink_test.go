package usagesink_test

import (
	"net/http/httptest"
	"testing"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/usagesink"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestSinkRefusesAndRecordsConflictingPage(t *testing.T) {
	is := is.New(t)
	s := usagesink.New(usagesink.Options{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := backing.NewHTTPUsageSink(server.URL, nil)
	r := backing.UsageReport{Window: "2026-01-01T00:00:00Z", Fence: 3, Issuer: "north", Body: []byte("1")}
	is.NoErr(client.Report(t.Context(), r))
	is.NoErr(client.Report(t.Context(), r))
	r.Body = []byte("2")
	is.True(errors.Is(client.Report(t.Context(), r), backing.ErrRejected))
	r.Page = 1
	is.NoErr(client.Report(t.Context(), r))
	got := s.Record()
	is.Equal(len(got), 4)
	is.True(got[1].Repeat)
	is.True(got[2].Conflict)
	is.Equal(got[3].Page, 1)
}
