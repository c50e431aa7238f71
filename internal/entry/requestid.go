package entry

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/observe"
)

// requestIDHeader carries the id of a request in both directions.
const requestIDHeader = "X-Request-Id"

type requestIDKey struct{}

// withRequestID gives the request an id of ours. The caller's own id, if it
// is well-formed, is kept as its tail, so that two callers never share one.
func withRequestID(w http.ResponseWriter, r *http.Request) *http.Request {
	id := observe.NewRequestID()
	w.Header().Set(requestIDHeader, id)
	return r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id))
}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}
