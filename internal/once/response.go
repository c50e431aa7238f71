package once

import "github.com/acacialink/acacialink/internal/backing"

// Response is the whole answer of a plain service.
type Response = backing.ServiceResponse

// responseBytes estimates the size of an answer with its headers.
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
