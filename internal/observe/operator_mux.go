package observe

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// Readiness reports whether a process accepts new work, and the reason if it does
// not.
type Readiness interface {
	Ready() (ready bool, reason string)
}

// ReadyFunc adapts a function to Readiness.
type ReadyFunc func() (bool, string)

// Ready implements Readiness.
func (f ReadyFunc) Ready() (bool, string) { return f() }

// NewOperatorMux returns the routers of the operator address. /healthz and /readyz
// need no authentication. All other routes, including those that the caller adds
// to the operators router, require an operator token.
func NewOperatorMux(r *Registry, a *Authenticator, readiness Readiness) (root, operators *mux.Router) {
	root = mux.NewRouter()
	root.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	root.HandleFunc("/readyz", serveReady(readiness)).Methods(http.MethodGet)
	operators = root.NewRoute().Subrouter()
	operators.Use(a.Middleware)
	operators.HandleFunc("/debug/vars", r.ServeVars).Methods(http.MethodGet)
	operators.HandleFunc("/debug/state", r.ServeState).Methods(http.MethodGet)
	addProfiles(operators)
	return root, operators
}

// addProfiles registers the pprof handlers.
func addProfiles(operators *mux.Router) {
	operators.HandleFunc("/debug/pprof/profile", pprof.Profile)
	operators.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	operators.HandleFunc("/debug/pprof/trace", pprof.Trace)
	operators.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

func serveReady(readiness Readiness) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := readiness.Ready()
		if !ready {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	}
}
