package fault

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// Switch applies Settings to an HTTP handler.
type Switch struct {
	// mu guards all below.
	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
}

// New returns a switch without faults. The seed fixes which answers LoseRate
// loses.
func New(seed uint64) *Switch {
	return &Switch{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the settings.
func (s *Switch) Set(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Settings returns the settings in force.
func (s *Switch) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Register adds GET, PUT and DELETE /faults to the router.
func (s *Switch) Register(r *mux.Router) {
	r.HandleFunc("/faults", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, s.Settings())
	}).Methods(http.MethodGet)
	r.HandleFunc("/faults", func(w http.ResponseWriter, req *http.Request) {
		var settings Settings
		if jsonhttp.Read(w, req, &settings) {
			s.Set(settings)
			jsonhttp.Write(w, settings)
		}
	}).Methods(http.MethodPut)
	r.HandleFunc("/faults", func(w http.ResponseWriter, _ *http.Request) {
		s.Set(Settings{})
		jsonhttp.Write(w, Settings{})
	}).Methods(http.MethodDelete)
}

// Wrap returns next behind the faults. Calls by POST are writes.
func (s *Switch) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		settings := s.Settings()
		if settings.Down {
			jsonhttp.Fail(w, errors.Wrap(backing.ErrUnavailable, "service is down"))
			return
		}
		body, ok := jsonhttp.Bytes(w, r)
		if !ok {
			return
		}
		if settings.Silent {
			Hold(r)
		}
		if !sleep(r, time.Duration(settings.DelayMillis)*time.Millisecond) {
			return
		}
		r.Body = rewind(body)
		if r.Method != http.MethodPost || !s.losesAnswer() {
			next(w, r)
			return
		}
		next(newDiscard(), r)
		panic(http.ErrAbortHandler)
	}
}

// Hold keeps the call without an answer until the caller closes its
// connection; it does not return to the handler.
func Hold(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Switch) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.LoseNext > 0 {
		s.settings.LoseNext--
		return true
	}
	return s.settings.LoseRate > 0 && s.random.Float64() < s.settings.LoseRate
}

// sleep returns false if the caller went away first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
