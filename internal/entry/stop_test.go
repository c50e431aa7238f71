package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Guards against requests that a stopping host begins and cannot finish or answer.
func TestStoppingServerRefusesWhatItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		name, path string
		drained    time.Duration
		closed     bool
		status     int
	}{
		{"early", "/v1/nothing", 0, false, http.StatusNotFound},
		{"late", "/v1/nothing", 9 * time.Second, false, http.StatusServiceUnavailable},
		{"closed", "/v1/nothing", 0, true, http.StatusServiceUnavailable},
		{"late call", "/x", 9500 * time.Millisecond, false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stop := termination.NewState()
			server := entry.New(entry.Options{Stop: stop})
			stop.Begin(termination.NewDrain(time.Now().Add(-c.drained), 10*time.Second))
			if c.closed {
				stop.Close()
			}
			w := httptest.NewRecorder()
			server.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, c.path, nil))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(verdict.Header), "not-run")
		})
	}
}
