package entry

import (
	"net/http"
	"slices"

	"github.com/acacialink/acacialink/internal/endtoend"
)

// withheld are the headers that an endpoint does not receive.
var withheld = append(slices.Clone(keyHeaders), requestIDHeader)

// forwardedHeader is the part of a caller's header that an endpoint receives:
// no keys, nothing that belongs to the caller's connection.
func forwardedHeader(from http.Header) http.Header {
	return endtoend.Header(from, withheld, nil)
}
