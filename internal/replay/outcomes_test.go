package replay

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExampleOutcomeFiles checks that each scenario has a file of expected
// outcomes, which hold if every response is good and do not hold if every
// response is truncated.
func TestExampleOutcomeFiles(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			source, err := os.ReadFile(filepath.Join("../../examples/outcomes", s.Name+".hujson"))
			is.NoErr(err)
			outcomes, err := ParseOutcomes(source)
			is.NoErr(err)
			trace, err := Generate(s.Name, 1, time.Minute, 1)
			is.NoErr(err)
			samples := make([]Sample, len(trace.Requests))
			for i := range samples {
				r := &trace.Requests[i]
				samples[i] = Sample{
					At: milliseconds(r.Offset), Workspace: r.Workspace, Route: r.Route, Class: r.class(),
					Status: 200, FirstToken: 100, Tokens: r.OutputTokens, TotalTokens: r.totalTokens(), Complete: true, WithinRate: true, Good: true,
				}
			}
			o := Options{Speed: 1}
			is.True(summarize(trace, o, samples, time.Time{}, time.Minute).CheckOutcomes(outcomes))
			for i := range samples {
				samples[i].Complete, samples[i].Good = false, false
			}
			is.True(!summarize(trace, o, samples, time.Time{}, time.Minute).CheckOutcomes(outcomes))
		})
	}
}
