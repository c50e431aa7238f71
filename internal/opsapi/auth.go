package opsapi

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/observe"
)

type operatorKey struct{}

// handler answers a request or returns why it does not.
type handler func(w http.ResponseWriter, r *http.Request) error

// guard lets operators through and writes the errors of the handler.
func (s *server) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.operators.Operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, r, refuse(http.StatusUnauthorized, "unauthorized", "an operator's bearer token is required"))
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, name))
		if err := next(w, r); err != nil {
			s.writeError(w, r, err)
		}
	}
}

// newAuthenticator returns what tells operators. Operators whose hash is not
// one let nobody through.
func newAuthenticator(o Options) *observe.Authenticator {
	list := make([]observe.Operator, len(o.Operators))
	for i, operator := range o.Operators {
		list[i] = observe.Operator(operator)
	}
	a, err := observe.NewAuthenticator(list)
	if err != nil {
		o.Logger.Error("operators are not usable", "error", err.Error())
		return &observe.Authenticator{}
	}
	return a
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
