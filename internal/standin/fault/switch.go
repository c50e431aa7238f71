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

// Switch applies Settings to HTTP handlers. It is safe for concurrent use.
type Switch struct {
	// mu guards the fields below.
	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
}

// New returns a switch that injects no faults. The seed makes the choice of
// responses lost by LoseRate reproducible.
func New(seed uint64) *Switch {
	return &Switch{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the settings.
func (s *Switch) Set(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Settings returns the current settings.
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

// Wrap returns a handler that applies the faults and then calls next. POST
// requests count as writes.
func (s *Switch) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		settings := s.Settings()
		if settings.Down {
			jsonhttp.WriteError(w, errors.Wrap(backing.ErrUnavailable, "service is down"))
			return
		}
		body, ok := jsonhttp.ReadBytes(w, r)
		if !ok {
			return
		}
		if settings.Silent {
			BlockUntilDisconnect(r)
		}
		if !sleep(r, time.Duration(settings.DelayMillis)*time.Millisecond) {
			return
		}
		r.Body = bodyReader(body)
		if r.Method != http.MethodPost || !s.takeAnswerLoss() {
			next(w, r)
			return
		}
		next(newDiscardWriter(), r)
		panic(http.ErrAbortHandler)
	}
}

// BlockUntilDisconnect leaves a call without a response until the caller closes
// the connection. It never returns: it aborts the handler with a panic of
// http.ErrAbortHandler.
func BlockUntilDisconnect(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// takeAnswerLoss reports whether the response to the current write is lost. It
// uses up one of the writes counted by Settings.LoseNext.
func (s *Switch) takeAnswerLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.LoseNext > 0 {
		s.settings.LoseNext--
		return true
	}
	return s.settings.LoseRate > 0 && s.random.Float64() < s.settings.LoseRate
}

// sleep waits for d. It returns false if the request is canceled first.
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
