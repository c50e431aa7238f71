package opsapi

import (
	"log/slog"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/observe"
)

// Paths of the interface.
const (
	pathResources = "/v1/resources/{kind}"
	pathResource  = "/v1/resources/{kind}/{name}"
	pathApply     = "/v1/apply"
	pathWatch     = "/v1/watch"
	pathVoters    = "/v1/voters"
	pathRevision  = "/v1/revisions/{revision}"
)

// server holds what the handlers share.
type server struct {
	o         Options
	operators *observe.Authenticator
	changes   chan struct{}
	watchers  chan struct{}
}

// New returns the handler of the operators' interface.
func New(o Options) http.Handler {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Watches == 0 {
		o.Watches = DefaultWatches
	}
	s := &server{
		o:         o,
		operators: newAuthenticator(o),
		changes:   make(chan struct{}, maxChanges),
		watchers:  make(chan struct{}, o.Watches),
	}
	r := mux.NewRouter()
	r.HandleFunc(pathResources, s.guard(s.list)).Methods(http.MethodGet)
	r.HandleFunc(pathResources, s.guard(s.create)).Methods(http.MethodPost)
	r.HandleFunc(pathResource, s.guard(s.get)).Methods(http.MethodGet)
	r.HandleFunc(pathResource, s.guard(s.update)).Methods(http.MethodPut)
	r.HandleFunc(pathResource, s.guard(s.remove)).Methods(http.MethodDelete)
	r.HandleFunc(pathApply, s.guard(s.apply)).Methods(http.MethodPost)
	r.HandleFunc(pathWatch, s.guard(s.watch)).Methods(http.MethodGet)
	r.HandleFunc(pathRevision, s.guard(s.revision)).Methods(http.MethodGet)
	r.HandleFunc(pathVoters, s.guard(s.voters)).Methods(http.MethodGet)
	r.HandleFunc(pathVoters, s.guard(s.replaceVoters)).Methods(http.MethodPost)
	r.NotFoundHandler = s.guard(func(http.ResponseWriter, *http.Request) error {
		return refuse(http.StatusNotFound, "not_found", "no such path")
	})
	r.MethodNotAllowedHandler = s.guard(func(http.ResponseWriter, *http.Request) error {
		return refuse(http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method")
	})
	return r
}
