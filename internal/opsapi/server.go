package opsapi

import (
	"log/slog"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/acacialink/acacialink/internal/observe"
)

// Paths of the API.
const (
	pathResources = "/v1/resources/{kind}"
	pathResource  = "/v1/resources/{kind}/{name}"
	pathApply     = "/v1/apply"
	pathWatch     = "/v1/watch"
	pathVoters    = "/v1/voters"
	pathRevision  = "/v1/revisions/{revision}"
)

// server holds the state that the handlers share.
type server struct {
	options     Options
	operators   *observe.Authenticator
	changeSlots chan struct{}
	watchSlots  chan struct{}
}

// New returns the HTTP handler of the operator API.
func New(options Options) http.Handler {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.MaxWatches == 0 {
		options.MaxWatches = DefaultMaxWatches
	}
	s := &server{
		options:     options,
		operators:   newAuthenticator(options),
		changeSlots: make(chan struct{}, maxConcurrentChanges),
		watchSlots:  make(chan struct{}, options.MaxWatches),
	}
	r := mux.NewRouter()
	r.HandleFunc(pathResources, s.requireOperator(s.list)).Methods(http.MethodGet)
	r.HandleFunc(pathResources, s.requireOperator(s.create)).Methods(http.MethodPost)
	r.HandleFunc(pathResource, s.requireOperator(s.get)).Methods(http.MethodGet)
	r.HandleFunc(pathResource, s.requireOperator(s.update)).Methods(http.MethodPut)
	r.HandleFunc(pathResource, s.requireOperator(s.remove)).Methods(http.MethodDelete)
	r.HandleFunc(pathApply, s.requireOperator(s.apply)).Methods(http.MethodPost)
	r.HandleFunc(pathWatch, s.requireOperator(s.watch)).Methods(http.MethodGet)
	r.HandleFunc(pathRevision, s.requireOperator(s.revision)).Methods(http.MethodGet)
	r.HandleFunc(pathVoters, s.requireOperator(s.voters)).Methods(http.MethodGet)
	r.HandleFunc(pathVoters, s.requireOperator(s.replaceVoters)).Methods(http.MethodPost)
	r.NotFoundHandler = s.requireOperator(func(http.ResponseWriter, *http.Request) error {
		return newAPIError(http.StatusNotFound, "not_found", "no such path")
	})
	r.MethodNotAllowedHandler = s.requireOperator(func(http.ResponseWriter, *http.Request) error {
		return newAPIError(http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method")
	})
	return r
}
