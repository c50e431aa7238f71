package observe

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Operator is a user who may access the operator address.
type Operator struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
}

// Authenticator authenticates operators by the hashes of their bearer tokens.
type Authenticator struct {
	operators []hashedOperator
}

type hashedOperator struct {
	name      string
	tokenHash [sha256.Size]byte
}

// NewAuthenticator returns an Authenticator for the operators. It returns an error
// if a token hash is not the hex encoding of a SHA-256 hash.
func NewAuthenticator(operators []Operator) (*Authenticator, error) {
	a := &Authenticator{}
	for _, o := range operators {
		hash, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, errors.Errorf("operator %s: token hash is not a SHA-256 hash", o.Name)
		}
		a.operators = append(a.operators, hashedOperator{o.Name, [sha256.Size]byte(hash)})
	}
	return a, nil
}

// Operator returns the name of the operator whose token the request carries. It
// compares the token hash with that of every operator in constant time.
func (a *Authenticator) Operator(r *http.Request) (string, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare(hash[:], o.tokenHash[:]) == 1 {
			name, found = o.name, true
		}
	}
	return name, found
}

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// OperatorName returns the name of the operator who sent the request with context
// ctx, or "" if the request did not pass Middleware.
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

// Middleware passes on requests that carry the token of an operator and answers
// all others with status 401.
func (a *Authenticator) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.Operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", `Bearer realm="acacialink operators"`)
			http.Error(w, "operator token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}
