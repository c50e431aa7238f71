package entry

import (
	"net/http"
	"slices"

	"github.com/acacialink/acacialink/internal/endtoend"
)

// withheldHeaders lists the caller's headers that are not forwarded to endpoints.
var withheldHeaders = append(slices.Clone(keyHeaders), requestIDHeader)

// forwardedHeaders returns the headers of a caller that are forwarded to endpoints.
// Credentials and hop-by-hop headers are removed.
func forwardedHeaders(header http.Header) http.Header {
	return endtoend.Header(header, withheldHeaders, nil)
}
