// Package weights is a stand-in for the rate-limited weight store, which serves
// loads one after another. A Store implements backing.WeightStore and also
// serves the wire format of backing.HTTPWeightStore.
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

// Options configures a Store.
type Options struct {
	// ModelLoad is the duration of a model load on an idle store; zero means
	// 2 s.
	ModelLoad time.Duration
	// AdapterLoad is the duration of an adapter load on an idle store; zero
	// means 500 ms.
	AdapterLoad time.Duration
}

// Store is a weight store. It is safe for concurrent use.
type Store struct {
	options Options
	faults  *fault.Switch

	// mu guards the fields below.
	mu sync.Mutex
	// busyUntil is the time at which the last queued load ends.
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
	return &Store{options: o, faults: fault.New(0)}
}

// StartLoad queues a load and returns the time until it ends. It has the type of
// engine.Options.LoadTime.
func (s *Store) StartLoad(model, adapter string) time.Duration {
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

// estimate returns the time until a load queued now would end. The caller must
// hold mu.
func (s *Store) estimate(_, adapter string) time.Duration {
	loadTime := s.options.ModelLoad
	if adapter != "" {
		loadTime = s.options.AdapterLoad
	}
	return max(0, time.Until(s.busyUntil)) + loadTime
}

// Handler returns the HTTP API.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	s.faults.Register(r)
	r.HandleFunc("/v1/weights/estimate", s.faults.Wrap(s.serveEstimate)).Methods(http.MethodGet)
	return r
}

func (s *Store) serveEstimate(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	d, err := s.Estimate(r.Context(), query.Get("model"), query.Get("adapter"))
	jsonhttp.WriteResult(w, backing.WeightEstimate{Duration: d}, err)
}
