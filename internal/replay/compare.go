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

// Spread is the mean and range of a metric over several runs.
type Spread struct {
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Difference compares one metric between two sets of runs.
type Difference struct {
	Metric string `json:"metric"`
	A      Spread `json:"a"`
	B      Spread `json:"b"`
	// Disjoint reports whether the two ranges are disjoint, so that every run of
	// one set is above every run of the other.
	Disjoint bool `json:"apart"`
}

// comparedMetricSuffixes are the path suffixes of the metrics that Compare
// includes.
var comparedMetricSuffixes = []string{
	".goodput", ".refused_within_share", ".broken", ".failed",
	".first_token.p50", ".first_token.p95", ".first_token.p99",
	".between_tokens.p95", ".between_tokens.p99", ".total.p95", ".tokens_per_second",
	".role_changes", ".endpoint_seconds", ".late_reports", ".wrong_reports",
}

// Compare compares two sets of results, each of one version over several seeds.
// It returns an error if the results differ in trace or scale, or if the sets do
// not have the same seeds.
func Compare(a, b []*Result) ([]Difference, error) {
	if err := comparable(a, b); err != nil {
		return nil, err
	}
	left, right := metricSpreads(a), metricSpreads(b)
	var list []Difference
	for _, metric := range slices.Sorted(maps.Keys(left)) {
		other, found := right[metric]
		if !found || !isComparedMetric(metric) {
			continue
		}
		d := Difference{Metric: metric, A: left[metric], B: other}
		d.Disjoint = d.A.Max < d.B.Min || d.B.Max < d.A.Min
		list = append(list, d)
	}
	return list, nil
}

func comparable(a, b []*Result) error {
	if len(a) == 0 || len(b) == 0 {
		return errors.New("compare: each set needs at least one result")
	}
	for _, r := range append(slices.Clone(a), b...) {
		if r.Trace != a[0].Trace || r.Scale != a[0].Scale {
			return errors.Errorf("compare: trace %s at %gx differs from %s at %gx", r.Trace, r.Scale, a[0].Trace, a[0].Scale)
		}
	}
	if !slices.Equal(sortedSeeds(a), sortedSeeds(b)) {
		return errors.Errorf("compare: the sets have different seeds: %v and %v", sortedSeeds(a), sortedSeeds(b))
	}
	return nil
}

func sortedSeeds(results []*Result) []uint64 {
	list := make([]uint64, 0, len(results))
	for _, r := range results {
		list = append(list, r.Seed)
	}
	slices.Sort(list)
	return list
}

func isComparedMetric(metric string) bool {
	return slices.ContainsFunc(comparedMetricSuffixes, func(suffix string) bool { return strings.HasSuffix(metric, suffix) })
}

func metricSpreads(results []*Result) map[string]Spread {
	all := make(map[string]Spread)
	for _, r := range results {
		for metric, v := range r.Metrics() {
			s, found := all[metric]
			if !found {
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

// WriteComparison writes differences as a human-readable table.
func WriteComparison(out io.Writer, list []Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tA mean\tmin\tmax\tB mean\tmin\tmax\tB - A\t")
	for _, d := range list {
		disjoint := ""
		if d.Disjoint {
			disjoint = "apart"
		}
		fmt.Fprintf(w, "%s\t%.5g\t%.5g\t%.5g\t%.5g\t%.5g\t%.5g\t%+.4g\t%s\n",
			d.Metric, d.A.Mean, d.A.Min, d.A.Max, d.B.Mean, d.B.Min, d.B.Max, d.B.Mean-d.A.Mean, disjoint)
	}
	return errors.Wrap(w.Flush(), "write comparison")
}

// resultFileMode makes result files world-readable.
const resultFileMode = 0o644

// Save writes the result to a file as indented JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "save result")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), resultFileMode), "save result")
}

// LoadResult reads a result file written by Save.
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
