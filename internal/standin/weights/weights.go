// Package weights is a stand-in for the rate-limited weight store. Loads go
// one after another at the store's rate. A Store is a backing.WeightStore
// itself and also serves the wire format of backing.HTTPWeightStore.
package weights

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/gorilla/mux"
)

const (
	defaultModelLoad   = 2 * time.Second
	defaultAdapterLoad = 500 * time.Millisecond
)

// Options configure a Store.
type Options struct {
	// ModelLoad and AdapterLoad are how long one load takes alone; zero means
	// 2 s and 500 ms.
	ModelLoad   time.Duration
	AdapterLoad time.Duration
}

// Store is the weight store.
type Store struct {
	options  Options
	switches *fault.Switch

	// mu guards all below.
	mu sync.Mutex
	// busyUntil is when all loads so far will have ended.
	busyUntil time.Time
}

var _ backing.WeightStore = (*Store)(nil)

// New returns an idle store.
func New(o Options) *Store {
	if o.ModelLoad <= 0 {
		o.ModelLoad = defaultModelLoad
	}
	if o.AdapterLoad <= 0 {
		o.AdapterLoad = defaultAdapterLoad
	}
	return &Store{options: o, switches: fault.New(0)}
}

// Load begins a load and returns how long it takes; it has the type of
// engine.Options.LoadTime.
func (s *Store) Load(model, adapter string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.estimate(model, adapter)
	s.busyUntil = time.Now().Add(d)
	return d
}

// Estimate implements backing.WeightStore.
func (s *Store) Estimate(_ context.Context, model, adapter string) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate(model, adapter), nil
}

// estimate is called with mu held.
func (s *Store) estimate(_, adapter string) time.Duration {
	own := s.options.ModelLoad
	if adapter != "" {
		own = s.options.AdapterLoad
	}
	return max(0, time.Until(s.busyUntil)) + own
}

// Handler returns the HTTP API.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	s.switches.Register(r)
	r.HandleFunc("/v1/weights/estimate", s.switches.Wrap(s.serveEstimate)).Methods(http.MethodGet)
	return r
}

func (s *Store) serveEstimate(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	d, err := s.Estimate(r.Context(), query.Get("model"), query.Get("adapter"))
	jsonhttp.Answer(w, backing.WeightEstimate{Duration: d}, err)
}
