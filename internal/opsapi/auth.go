package opsapi

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/observe"
)

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// handler serves a request, or returns the error to respond with.
type handler func(w http.ResponseWriter, r *http.Request) error

// requireOperator rejects requests without a valid operator token, and responds
// with the errors that next returns.
func (s *server) requireOperator(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.operators.Operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, r, newAPIError(http.StatusUnauthorized, "unauthorized", "an operator's bearer token is required"))
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, name))
		if err := next(w, r); err != nil {
			s.writeError(w, r, err)
		}
	}
}

// newAuthenticator returns the authenticator for the configured operators. If
// any token hash is invalid, the authenticator rejects all requests.
func newAuthenticator(options Options) *observe.Authenticator {
	list := make([]observe.Operator, len(options.Operators))
	for i, operator := range options.Operators {
		list[i] = observe.Operator(operator)
	}
	authenticator, err := observe.NewAuthenticator(list)
	if err != nil {
		options.Logger.Error("invalid operator settings; all operator requests will be rejected", "error", err.Error())
		return &observe.Authenticator{}
	}
	return authenticator
}

// operatorFromContext returns the name of the authenticated operator.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
