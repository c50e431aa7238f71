package idempotency

import "github.com/acacialink/acacialink/internal/backing"

// Response is the complete response of a service without streaming.
type Response = backing.ServiceResponse

// responseBytes estimates the size in bytes of a response with its headers.
func responseBytes(r *Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}
