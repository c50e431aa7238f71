// Package service is a stand-in for a plain service, such as the order
// service. It runs every call that it gets, repeats included, and counts the
// runs, so that a test or an audit can tell how often each call ran.
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

// Options configure a Service.
type Options struct {
	Name string
	// RunTime is how long one run takes.
	RunTime time.Duration
}

// Service is one plain service.
type Service struct {
	options Options
	calls   record.Log[Call]

	// mu guards all below.
	mu    sync.Mutex
	fault Fault
	runs  int
}

// New returns a service.
func New(o Options) *Service { return &Service{options: o} }

// Handler returns the HTTP API: /faults, /record, and any other path as a call.
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
	f := s.nextFault(r.URL.Path)
	switch f.Kind {
	case FaultHangBefore:
		fault.Hold(r)
	case FaultCloseBefore:
		panic(http.ErrAbortHandler)
	case FaultSlowBefore:
		time.Sleep(f.delay())
	case FaultStatusNoRun:
		w.WriteHeader(f.Status)
		return
	}
	answer := s.run(r, number)
	switch f.Kind {
	case FaultHangAfter:
		fault.Hold(r)
	case FaultCloseAfter:
		panic(http.ErrAbortHandler)
	case FaultCloseMidBody:
		cutBody(w)
	case FaultSlowAfter:
		time.Sleep(f.delay())
	case FaultStatusWithRun:
		w.WriteHeader(f.Status)
		return
	}
	w.Header().Set(requestIDHeader, answer.RequestID)
	jsonhttp.Write(w, answer)
}

// Answer is the JSON body of an answer. It repeats what the call was, so that
// a caller can tell its own answer from another's.
type Answer struct {
	Service   string `json:"service"`
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodyHash is the xxhash of the call's body, in decimal.
	BodyHash string `json:"body_hash"`
}

// run executes a call.
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

// cutBody sends part of an answer and closes the connection.
func cutBody(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"service":`))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func newCall(r *http.Request, body []byte, err error) Call {
	return Call{
		At:             time.Now(),
		RequestID:      r.Header.Get(requestIDHeader),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		BodyHash:       xxhash.Sum64(body),
		Truncated:      err != nil,
		Header:         r.Header,
	}
}
