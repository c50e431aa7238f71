package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Spread is a figure over several runs.
type Spread struct {
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Difference is one figure of two sets of runs.
type Difference struct {
	Metric string `json:"metric"`
	A      Spread `json:"a"`
	B      Spread `json:"b"`
	// Apart is true when the two ranges do not meet: every run of one set is
	// above every run of the other.
	Apart bool `json:"apart"`
}

// comparedFigures are the ends of the paths of figures that are compared.
var comparedFigures = []string{
	".goodput", ".refused_within_share", ".broken", ".failed",
	".first_token.p50", ".first_token.p95", ".first_token.p99",
	".between_tokens.p95", ".between_tokens.p99", ".total.p95", ".tokens_per_second",
	".role_changes", ".endpoint_seconds", ".late_reports", ".wrong_reports",
}

// Compare compares two sets of results, each of one version over several
// seeds. Results of other traces than the first one's are an error, and so are
// sets that do not hold the same seeds.
func Compare(a, b []*Result) ([]Difference, error) {
	if err := comparable(a, b); err != nil {
		return nil, err
	}
	left, right := spreads(a), spreads(b)
	var list []Difference
	for _, metric := range slices.Sorted(maps.Keys(left)) {
		other, both := right[metric]
		if !both || !compared(metric) {
			continue
		}
		d := Difference{Metric: metric, A: left[metric], B: other}
		d.Apart = d.A.Max < d.B.Min || d.B.Max < d.A.Min
		list = append(list, d)
	}
	return list, nil
}

func comparable(a, b []*Result) error {
	if len(a) == 0 || len(b) == 0 {
		return errors.New("compare: each side needs a result")
	}
	for _, r := range append(slices.Clone(a), b...) {
		if r.Trace != a[0].Trace || r.Scale != a[0].Scale {
			return errors.Errorf("compare: trace %s at %gx is not %s at %gx", r.Trace, r.Scale, a[0].Trace, a[0].Scale)
		}
	}
	if !slices.Equal(seeds(a), seeds(b)) {
		return errors.Errorf("compare: the sides have different seeds, %v and %v", seeds(a), seeds(b))
	}
	return nil
}

func seeds(results []*Result) []uint64 {
	list := make([]uint64, 0, len(results))
	for _, r := range results {
		list = append(list, r.Seed)
	}
	slices.Sort(list)
	return list
}

func compared(metric string) bool {
	return slices.ContainsFunc(comparedFigures, func(end string) bool { return strings.HasSuffix(metric, end) })
}

func spreads(results []*Result) map[string]Spread {
	all := make(map[string]Spread)
	for _, r := range results {
		for metric, v := range r.Metrics() {
			s, known := all[metric]
			if !known {
				s = Spread{Min: v, Max: v}
			}
			s.Runs++
			s.Mean += (v - s.Mean) / float64(s.Runs)
			s.Min, s.Max = min(s.Min, v), max(s.Max, v)
			all[metric] = s
		}
	}
	return all
}

// WriteComparison writes differences for a person to read.
func WriteComparison(out io.Writer, list []Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tA mean\tmin\tmax\tB mean\tmin\tmax\tB - A\t")
	for _, d := range list {
		apart := ""
		if d.Apart {
			apart = "apart"
		}
		fmt.Fprintf(w, "%s\t%.5g\t%.5g\t%.5g\t%.5g\t%.5g\t%.5g\t%+.4g\t%s\n",
			d.Metric, d.A.Mean, d.A.Min, d.A.Max, d.B.Mean, d.B.Min, d.B.Max, d.B.Mean-d.A.Mean, apart)
	}
	return errors.Wrap(w.Flush(), "write comparison")
}

// resultMode lets everybody read a result.
const resultMode = 0o644

// Save writes the result as JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "save result")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), resultMode), "save result")
}

// LoadResult reads a result that Save wrote.
func LoadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load result")
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, errors.Wrapf(err, "load result %s", path)
	}
	return &r, nil
}
