package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Outcome is a figure that was stated before a replay.
type Outcome struct {
	// Metric is the path of a number in the result's JSON, such as
	// "chats.goodput" or "workspaces.residents.first_token.p95".
	Metric string `json:"metric"`
	// Min and Max bound it; at least one is given.
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
	// Why says what the bound is for.
	Why string `json:"why,omitempty"`
}

// Check is an outcome with the figure that came.
type Check struct {
	Outcome
	Value float64 `json:"value"`
	// Known is false when the result has no such figure; then Holds is false.
	Known bool `json:"known"`
	Holds bool `json:"holds"`
}

// ParseOutcomes reads a file of stated outcomes: JSON with comments, an object
// with the list "outcomes". All faults are reported at once.
func ParseOutcomes(source []byte) ([]Outcome, error) {
	standard, err := hujson.Standardize(slices.Clone(source))
	if err != nil {
		return nil, errors.Wrap(err, "outcomes")
	}
	var file struct {
		Outcomes []Outcome `json:"outcomes"`
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, errors.Wrap(err, "outcomes")
	}
	var faults []string
	for i, o := range file.Outcomes {
		if o.Metric == "" || o.Min == nil && o.Max == nil {
			faults = append(faults, fmt.Sprintf("outcomes[%d]: a metric and a min or max are required", i))
		}
	}
	if len(file.Outcomes) == 0 {
		faults = append(faults, "outcomes: the list is empty")
	}
	if len(faults) > 0 {
		return nil, errors.New(strings.Join(faults, "\n"))
	}
	return file.Outcomes, nil
}

// CheckOutcomes compares a result with stated outcomes, notes the checks in it,
// and says whether all hold. An interrupted replay, or one whose events were
// not done, holds nothing.
func (r *Result) CheckOutcomes(outcomes []Outcome) bool {
	metrics := r.Metrics()
	all := !r.Interrupted && len(r.Faults) == 0
	r.Checks = nil
	for _, o := range outcomes {
		value, known := metrics[o.Metric]
		c := Check{Outcome: o, Value: value, Known: known}
		c.Holds = known && (o.Min == nil || value >= *o.Min) && (o.Max == nil || value <= *o.Max)
		all = all && c.Holds
		r.Checks = append(r.Checks, c)
	}
	return all
}

// Metrics returns all numbers of the result by their path in its JSON, without
// the timeline.
func (r *Result) Metrics() map[string]float64 {
	text, _ := json.Marshal(r) // Known types only: can't fail.
	var decoded map[string]any
	_ = json.Unmarshal(text, &decoded)
	delete(decoded, "timeline")
	delete(decoded, "checks")
	metrics := make(map[string]float64)
	flatten(metrics, "", decoded)
	return metrics
}

func flatten(into map[string]float64, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flatten(into, strings.TrimPrefix(path+"."+name, "."), member)
		}
	case float64:
		into[path] = v
	}
}
