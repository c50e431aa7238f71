package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const logs = `
 18.1 h1 {"time":"2026-01-01T00:00:00.1Z","level":"WARN","msg":"dependency lost","process":"h1","dependency":"store: configuration"}
{"time":"2026-01-01T00:00:01Z","msg":"endpoint leaves","process":"h1","endpoint":"i-9"}
{"time":"2026-01-01T00:00:01Z","msg":"endpoint leaves","process":"h1","endpoint":"i-1"}
{"time":"2026-01-01T00:00:01Z","msg":"dependency lost","process":"h2","dependency":"store"}
{"time":"2026-01-01T00:00:01.2Z","msg":"request sent again","process":"h1","request_id":"7","endpoint":"i-1"}
{"time":"2026-01-01T00:00:01.9Z","msg":"request ended","process":"h1","request_id":"8"}
{"time":"2026-01-01T00:00:02Z","msg":"request ended","process":"h1","request_id":"7","code":"endpoint_lost","duration_ms":900}
{"time":"2026-01-01T00:00:09Z","msg":"dependency regained","process":"h1","dependency":"store"}
{"time": cut
`

func TestWriteTimelineIncludesStateChangesOfHosts(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteTimeline(strings.NewReader(logs), "7", &out))
	is.Equal(out.String(), `     -1.100s h1: dependency lost dependency=store: configuration
     -0.200s h1: endpoint leaves endpoint=i-1
*    +0.000s h1: request sent again endpoint=i-1
*    +0.800s h1: request ended code=endpoint_lost duration_ms=900
1 lines could not be read
`)
}

func TestWriteTimelineOfUnknownRequestIsNotFound(t *testing.T) {
	is := is.New(t)
	err := WriteTimeline(strings.NewReader(logs), "99", &strings.Builder{})
	is.True(errors.Is(err, ErrNotFound))
}
