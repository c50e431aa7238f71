package entry

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Server serves callers.
type Server struct {
	opts   Options
	router *mux.Router
	retry  *retryBudget
	stats  Stats
	open   atomic.Int64
	bodies bodyBudget
}

// DefaultAttempts is how many endpoints are tried for one request.
const DefaultAttempts = 4

// New returns a server for callers' requests.
func New(opts Options) *Server {
	if opts.Attempts == 0 {
		opts.Attempts = DefaultAttempts
	}
	s := &Server{opts: opts, retry: newRetryBudget()}
	s.bodies.bound = opts.Limits.BufferedBytes
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.handleChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	r.PathPrefix("/v1/").HandlerFunc(s.handleUnknown)
	r.PathPrefix("/").HandlerFunc(s.handleService)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.handleMethod)
	s.router = r
	return s
}

// Stats returns the server's counters.
func (s *Server) Stats() *Stats { return &s.stats }

// Open counts the requests being served.
func (s *Server) Open() int64 { return s.open.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.stats.Requests.Add(1)
	r = withRequestID(w, r)
	if refusedConn(r) {
		w.Header().Set("Connection", "close")
		s.fail(w, r, errTooManyConnections)
		return
	}
	open := s.open.Add(1)
	defer s.open.Add(-1)
	if s.opts.Limits.OpenRequests > 0 && open > int64(s.opts.Limits.OpenRequests) {
		s.fail(w, r, errTooManyOpen)
		return
	}
	s.router.ServeHTTP(w, r)
}

func (s *Server) handleUnknown(w http.ResponseWriter, r *http.Request) {
	s.fail(w, r, verdict.New(verdict.NotRun, http.StatusNotFound, "not_found", "there is no such path"))
}

func (s *Server) handleMethod(w http.ResponseWriter, r *http.Request) {
	s.fail(w, r, verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method"))
}
