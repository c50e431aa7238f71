package weights_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/weights"
	"github.com/matryer/is"
)

func TestLoadsAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := weights.New(weights.Options{})
		is.Equal(s.StartLoad("m", ""), 2*time.Second)
		is.Equal(s.StartLoad("m", "a"), 2500*time.Millisecond)
		time.Sleep(time.Second)
		d, err := s.Estimate(t.Context(), "m", "")
		is.NoErr(err)
		is.Equal(d, 3500*time.Millisecond)
	})
}

func TestEstimateOverHTTP(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(weights.New(weights.Options{}).Handler())
	defer server.Close()
	d, err := backing.NewHTTPWeightStore(server.URL, nil).Estimate(t.Context(), "m", "a")
	is.NoErr(err)
	is.Equal(d, 500*time.Millisecond)
}
