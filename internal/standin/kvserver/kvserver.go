// Package kvserver serves the key-value stand-in of package kv over HTTP, in the
// wire format of backing.HTTPStore.
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

// Options configures a Server.
type Options struct {
	// Store is the store to serve; nil means a new one.
	Store *kv.Store
	// StoreOptions configures the new store if Store is nil.
	StoreOptions kv.Options
}

// Server serves a kv.Store over HTTP. Calls below the path /clients/NAME are
// those of the client with that name.
type Server struct {
	store *kv.Store
}

// New returns a server for the store in o.
func New(o Options) *Server {
	if o.Store == nil {
		o.Store = kv.New(o.StoreOptions)
	}
	return &Server{store: o.Store}
}

// Store returns the served store.
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

// Record is the response to GET /record.
type Record struct {
	Writes []kv.Write `json:"writes"`
	Counts kv.Counts  `json:"counts"`
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var call backing.StoreRequest
	if !jsonhttp.Read(w, r, &call) {
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
	answer, err := op(r.Context(), client, call)
	jsonhttp.WriteResult(w, answer, err)
}

// serveFaults sets the faults of the store or of one client; DELETE clears them.
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
