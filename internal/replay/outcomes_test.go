package replay

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOutcomeFiles checks that each scenario has a file of stated outcomes,
// that a replay in which all is well holds them, and that one in which every
// answer is cut does not.
func TestOutcomeFiles(t *testing.T) {
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
					At: ms(r.At), Workspace: r.Workspace, Route: r.Route, Class: r.class(),
					Status: 200, First: 100, Tokens: r.Generated, Size: r.tokens(), Whole: true, Within: true, Good: true,
				}
			}
			o := Options{Scale: 1}
			is.True(summarize(trace, o, samples, time.Time{}, time.Minute).CheckOutcomes(outcomes))
			for i := range samples {
				samples[i].Whole, samples[i].Good = false, false
			}
			is.True(!summarize(trace, o, samples, time.Time{}, time.Minute).CheckOutcomes(outcomes))
		})
	}
}
