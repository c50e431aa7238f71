package entry

import (
	"context"
	"net/http"

	"github.com/acacialink/acacialink/internal/observe"
)

// requestIDHeader is the response header with the request ID. It is not forwarded
// from callers to endpoints, nor from services to callers.
const requestIDHeader = "X-Request-Id"

type requestIDKey struct{}

// withRequestID stores a newly generated request ID in the request's context and sets
// it as a response header. An ID sent by the caller is not used, so that two callers
// never share one.
func withRequestID(w http.ResponseWriter, r *http.Request) *http.Request {
	id := observe.NewRequestID()
	w.Header().Set(requestIDHeader, id)
	return r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id))
}

// requestID returns the ID set by withRequestID, or "" without one.
func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}
