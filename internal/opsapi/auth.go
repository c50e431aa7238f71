package opsapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

type operatorKey struct{}

// handler answers a request or returns why it does not.
type handler func(w http.ResponseWriter, r *http.Request) error

// guard lets operators through and writes the errors of the handler.
func (s *server) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.authenticate(r)
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

// authenticate returns the operator whose token came with the request. It
// compares hashes of equal length in constant time, all of them each time.
func (s *server) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for _, o := range s.o.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(o.TokenSHA256)) == 1 {
			name, found = o.Name, true
		}
	}
	return name, found
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
