package observe

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// Readiness says whether a process takes new work, and if not, why.
type Readiness interface {
	Ready() (ready bool, reason string)
}

// ReadyFunc is a Readiness made of a function.
type ReadyFunc func() (bool, string)

// Ready implements Readiness.
func (f ReadyFunc) Ready() (bool, string) { return f() }

// NewOperatorMux returns the routes of the operators' address. /healthz and
// /readyz are open; all others, those that the caller adds to the second
// router included, demand an operator's token.
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

// addProfiles adds the profiles of the running program.
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
