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

// Operator is one who may use the operators' address.
type Operator struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string
}

// Authenticator knows the operators by the hashes of their tokens.
type Authenticator struct {
	operators []hashedOperator
}

type hashedOperator struct {
	name string
	sum  [sha256.Size]byte
}

// NewAuthenticator returns an authenticator of the operators.
func NewAuthenticator(operators []Operator) (*Authenticator, error) {
	a := &Authenticator{}
	for _, o := range operators {
		sum, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(sum) != sha256.Size {
			return nil, errors.Errorf("operator %s: token hash is no SHA-256", o.Name)
		}
		a.operators = append(a.operators, hashedOperator{o.Name, [sha256.Size]byte(sum)})
	}
	return a, nil
}

// Operator returns the name of the operator whose token the request carries.
// It compares with every operator in constant time.
func (a *Authenticator) Operator(r *http.Request) (string, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare(sum[:], o.sum[:]) == 1 {
			name, found = o.name, true
		}
	}
	return name, found
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// OperatorName returns the name of the operator who sent the request behind
// ctx, or "" outside of Middleware.
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// Middleware lets only operators through.
func (a *Authenticator) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.Operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", `Bearer realm="acacialink operators"`)
			http.Error(w, "operator token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}
