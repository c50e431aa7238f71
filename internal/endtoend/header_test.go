package endtoend

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestHeaderRemovesHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	from := http.Header{
		"Connection": {"keep-alive, X-Odd", "x-fact"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Expect": {"100-continue"},
		"Content-Length": {"3"}, "X-Odd": {"1"}, "X-Fact": {"2"}, "X-Key": {"secret"}, "Accept": {"a", "b"},
	}
	got := Header(from, []string{"X-Key"}, []string{"X-Fact"})
	is.Equal(got, http.Header{"X-Fact": {"2"}, "Accept": {"a", "b"}})
	is.Equal(len(from), 9) // the source is not modified
}
