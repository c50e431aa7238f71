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

// A request whose lines were dropped is explained as far as it is known.
func TestWriteTimelineReportsDroppedAndRepeatedLines(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteTimeline(strings.NewReader(`
{"time":"2026-01-01T00:00:03Z","msg":"request sent again","process":"h1","request_id":"7","error":"no_budget","predicted_ms":12}
{"time":"2026-01-01T00:00:02Z","msg":"request sent again","process":"h1","request_id":"7","error":"lost","predicted_ms":10}
{"time":"2026-01-01T00:00:02.5Z","msg":"request sent again","process":"h1","request_id":"7","error":"no_budget","predicted_ms":11}
{"time":"2026-01-01T00:00:03.5Z","msg":"log lines dropped","process":"h1","dropped":40,"dropped_total":40}
{"time":"2026-01-01T00:00:03.5Z","msg":"log lines dropped","process":"h2","dropped":5,"dropped_total":5}
`), "7", &out))
	is.Equal(out.String(), `*    +0.000s h1: request sent again error=lost predicted_ms=10
*    +0.500s h1: request sent again (2 times in 0.500 s) error=no_budget predicted_ms=11
     +1.500s h1: log lines dropped dropped=40 dropped_total=40
no line tells how the request ended; its hosts dropped 40 lines around that time
`)
	err := WriteTimeline(strings.NewReader(`{"time":"2026-01-01T00:00:03.5Z","msg":"log lines dropped","process":"h1","dropped":40}`), "8", &out)
	is.True(strings.Contains(err.Error(), "the hosts dropped 40"))
}

func TestWriteTimelineOfUnknownRequestIsNotFound(t *testing.T) {
	is := is.New(t)
	err := WriteTimeline(strings.NewReader(logs), "99", &strings.Builder{})
	is.True(errors.Is(err, ErrNotFound))
}

func TestWriteTimelineIncludesVerdictOnSegment(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteTimeline(strings.NewReader(`
{"time":"2026-01-01T00:00:01Z","msg":"segment held back","process":"h1","service":"llm","segment":"5c","crashes":3}
{"time":"2026-01-01T00:00:01Z","msg":"segment held back","process":"h2","service":"llm","segment":"5c","crashes":3}
{"time":"2026-01-01T00:00:02Z","msg":"segment held back","process":"h1","service":"llm","segment":"77","crashes":4}
{"time":"2026-01-01T00:00:31Z","msg":"request ended","process":"h1","request_id":"7","code":"segment_held","segment":"5c"}
{"time":"2026-01-01T00:00:32Z","msg":"segment cleared","process":"h1","service":"llm","segment":"5c","crashes":3}
`), "7", &out))
	is.Equal(out.String(), `    -30.000s h1: segment held back crashes=3 segment=5c service=llm
*    +0.000s h1: request ended code=segment_held segment=5c
     +1.000s h1: segment cleared crashes=3 segment=5c service=llm
`)
}

// A request that a stopping host interrupted, whose endpoint said that it leaves, is explained
// by both.
func TestWriteTimelineTellsOfStopsAndLeavingEndpoints(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteTimeline(strings.NewReader(`
{"time":"2026-01-01T00:00:01Z","msg":"draining","process":"h1","end_ms":7200}
{"time":"2026-01-01T00:00:01.5Z","msg":"request sent again","process":"h1","request_id":"7","endpoint":"i-1"}
{"time":"2026-01-01T00:00:02Z","msg":"endpoint stated that it leaves","process":"h1","endpoint":"i-1"}
{"time":"2026-01-01T00:00:08.2Z","msg":"request ended","process":"h1","request_id":"7","endpoint":"i-1","code":"host_ending"}
{"time":"2026-01-01T00:00:08.3Z","msg":"closing connections","process":"h1","requests":0}
`), "7", &out))
	for _, line := range []string{"draining end_ms=7200", "endpoint stated that it leaves endpoint=i-1", "closing connections requests=0"} {
		is.True(strings.Contains(out.String(), line))
	}
}
