// Package kvserver serves the stand-in of the key-value service over HTTP, in
// the wire format of backing.HTTPStore.
package kvserver

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/gorilla/mux"
)

// Options configure a Server.
type Options struct {
	// Store is served; nil means a new one with StoreOptions.
	Store        *kv.Store
	StoreOptions kv.Options
}

// Server is an HTTP front of a kv.Store. A base URL that ends in
// /clients/NAME is the view of the client of that name.
type Server struct {
	store *kv.Store
}

// New returns a server.
func New(o Options) *Server {
	if o.Store == nil {
		o.Store = kv.New(o.StoreOptions)
	}
	return &Server{store: o.Store}
}

// Store returns the store behind the server.
func (s *Server) Store() *kv.Store { return s.store }

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/store/{op}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/clients/{client}/v1/store/{op}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/faults/clients/{client}", s.serveFaults).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, Record{Writes: s.store.Record(), Counts: s.store.Counts()})
	}).Methods(http.MethodGet)
	return r
}

// Record is the answer of GET /record.
type Record struct {
	Writes []kv.Write `json:"writes"`
	Counts kv.Counts  `json:"counts"`
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var in backing.StoreRequest
	if !jsonhttp.Read(w, r, &in) {
		return
	}
	var client backing.Store = s.store
	if name := mux.Vars(r)["client"]; name != "" {
		client = s.store.Client(name)
	}
	op := storeOps[mux.Vars(r)["op"]]
	if op == nil {
		http.NotFound(w, r)
		return
	}
	out, err := op(r.Context(), client, in)
	jsonhttp.Answer(w, out, err)
}

// serveFaults sets or clears the faults of the store or of one client.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var settings fault.Settings
	if r.Method == http.MethodPut && !jsonhttp.Read(w, r, &settings) {
		return
	}
	faults := s.store.Faults
	if name := mux.Vars(r)["client"]; name != "" {
		faults = s.store.Client(name).Faults
	}
	faults.SetDown(settings.Down)
	faults.SetSilent(settings.Silent)
	faults.SetDelay(time.Duration(settings.DelayMillis) * time.Millisecond)
	faults.LoseNext(settings.LoseNext)
	faults.LoseAnswers(settings.LoseRate)
	jsonhttp.Write(w, settings)
}
