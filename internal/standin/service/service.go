// Package service is a stand-in for a plain service, such as the order service.
// It executes every call, including repeated ones, and counts the executions, so
// that a test or an audit can check how often each call was executed.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/acacialink/acacialink/internal/standin/record"
	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	maxBodyBytes         = 64 << 20
)

// Options configures a Service.
type Options struct {
	Name string
	// RunTime is the duration of one execution.
	RunTime time.Duration
}

// Service is a plain service. It is safe for concurrent use.
type Service struct {
	options Options
	calls   record.Log[Call]

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	runs  int
}

// New returns a service without faults.
func New(o Options) *Service { return &Service{options: o} }

// Handler returns the HTTP API: /faults and /record; requests to any other path
// are calls of the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, s.Record())
	}).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serveCall)
	return r
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if r.Method == http.MethodPut && !jsonhttp.Read(w, r, &f) {
		return
	}
	if r.Method != http.MethodGet {
		s.SetFault(f)
	}
	jsonhttp.Write(w, s.Fault())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	number := s.calls.Add(newCall(r, body, err))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	injected := s.takeFault(r.URL.Path)
	switch injected.Kind {
	case FaultHangBefore:
		fault.BlockUntilDisconnect(r)
	case FaultCloseBefore:
		panic(http.ErrAbortHandler)
	case FaultSlowBefore:
		time.Sleep(injected.delay())
	case FaultStatusNoRun:
		w.WriteHeader(injected.Status)
		return
	}
	answer := s.run(r, number)
	switch injected.Kind {
	case FaultHangAfter:
		fault.BlockUntilDisconnect(r)
	case FaultCloseAfter:
		panic(http.ErrAbortHandler)
	case FaultCloseMidBody:
		truncateAnswer(w)
	case FaultSlowAfter:
		time.Sleep(injected.delay())
	case FaultStatusWithRun:
		w.WriteHeader(injected.Status)
		return
	}
	w.Header().Set(requestIDHeader, answer.RequestID)
	jsonhttp.Write(w, answer)
}

// Answer is the JSON body of a response. It echoes the call, so that a caller
// can detect a response that belongs to another call.
type Answer struct {
	Service   string `json:"service"`
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodyHash is the xxhash of the body of the call, in decimal.
	BodyHash string `json:"body_hash"`
}

// run executes a call and updates its record, which has the given number.
func (s *Service) run(r *http.Request, number int) Answer {
	time.Sleep(s.options.RunTime)
	s.mu.Lock()
	s.runs++
	run := s.runs
	s.mu.Unlock()
	answer := Answer{Service: s.options.Name, Run: run, Path: r.URL.Path, Method: r.Method}
	s.calls.Update(number, func(c *Call) {
		c.Run = run
		c.RanAt = time.Now()
		answer.RequestID = c.RequestID
		answer.BodyHash = strconv.FormatUint(c.BodyHash, 10)
	})
	return answer
}

// truncateAnswer sends the beginning of a response and closes the connection.
func truncateAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"service":`))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func newCall(r *http.Request, body []byte, readErr error) Call {
	return Call{
		At:             time.Now(),
		RequestID:      r.Header.Get(requestIDHeader),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		BodyHash:       xxhash.Sum64(body),
		Truncated:      readErr != nil,
		Header:         r.Header,
	}
}
