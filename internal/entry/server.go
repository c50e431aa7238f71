package entry

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	opts         Options
	router       *mux.Router
	retries      *retryBudget
	stats        Stats
	openRequests atomic.Int64
	bodies       *bodybudget.Budget
	// overlong holds the endpoints that sent too much a short time ago.
	overlong overlongEndpoints
	// durations holds how long generations, by true, and calls usually take.
	durations termination.Durations[bool]
}

// DefaultMaxAttempts is the default of Options.MaxAttempts.
const DefaultMaxAttempts = 4

// New returns a server with the given options. MaxAttempts of 0 means
// DefaultMaxAttempts.
func New(opts Options) *Server {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	if opts.Suspects == nil {
		opts.Suspects = suspect.NewLedger(time.Now(), "", suspect.NewMetrics(observe.NewRegistry(observe.Identity{})), slog.New(slog.DiscardHandler))
	}
	if opts.Answers == nil {
		opts.Answers = bodybudget.NewShares(0)
	}
	if opts.Stop == nil {
		opts.Stop = termination.NewState()
	}
	if opts.Leads == nil {
		opts.Leads = func() bool { return true }
	}
	s := &Server{opts: opts, retries: newRetryBudget(), bodies: bodybudget.New(opts.Limits.BufferedBytes)}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.handleChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	r.PathPrefix("/v1/").HandlerFunc(s.handleNotFound)
	r.PathPrefix("/").HandlerFunc(s.handleService)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.handleMethodNotAllowed)
	s.router = r
	return s
}

// Stats returns the server's counters, which are updated while it serves.
func (s *Server) Stats() *Stats { return &s.stats }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// ServeHTTP implements http.Handler. It refuses requests on connections beyond the
// connection limit and requests beyond Limits.OpenRequests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.stats.Requests.Add(1)
	r = withRequestID(w, r)
	if onRefusedConn(r) {
		w.Header().Set("Connection", "close")
		s.writeError(w, r, errTooManyConnections)
		return
	}
	open := s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	if s.opts.Limits.OpenRequests > 0 && open > int64(s.opts.Limits.OpenRequests) {
		s.writeError(w, r, errTooManyOpenRequests)
		return
	}
	if s.opts.Stop.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if !s.mayBegin(r) {
		s.writeError(w, r, errHostEnding)
		return
	}
	start := time.Now()
	s.router.ServeHTTP(w, r)
	s.durations.Observe(isGeneration(r), time.Since(start))
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, r, verdict.New(verdict.NotRun, http.StatusNotFound, "not_found", "there is no such path"))
}

func (s *Server) handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, r, verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method"))
}
