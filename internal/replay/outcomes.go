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

// Outcome is an expected range of a metric, stated before the replay.
type Outcome struct {
	// Metric is the path of a number in the result's JSON, such as
	// "chats.goodput" or "workspaces.residents.first_token.p95".
	Metric string `json:"metric"`
	// Min and Max are the inclusive bounds; at least one is set.
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
	// Reason is the reason for the bounds.
	Reason string `json:"why,omitempty"`
}

// Check is an expected outcome with the measured value.
type Check struct {
	Outcome
	Value float64 `json:"value"`
	// Found reports whether the result has this metric. If not, Holds is false.
	Found bool `json:"known"`
	// Holds reports whether Value is within the bounds.
	Holds bool `json:"holds"`
}

// ParseOutcomes parses a file of expected outcomes: JSON with comments, an object
// with the list "outcomes". The error lists all incomplete outcomes.
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
	var problems []string
	for i, o := range file.Outcomes {
		if o.Metric == "" || o.Min == nil && o.Max == nil {
			problems = append(problems, fmt.Sprintf("outcomes[%d]: a metric and a min or max are required", i))
		}
	}
	if len(file.Outcomes) == 0 {
		problems = append(problems, "outcomes: the list is empty")
	}
	if len(problems) > 0 {
		return nil, errors.New(strings.Join(problems, "\n"))
	}
	return file.Outcomes, nil
}

// CheckOutcomes checks the result against expected outcomes, stores the checks in
// r.Checks and reports whether all hold. It returns false for a replay that was
// interrupted or in which an event failed.
func (r *Result) CheckOutcomes(outcomes []Outcome) bool {
	metrics := r.Metrics()
	allHold := !r.Interrupted && len(r.EventErrors) == 0
	r.Checks = nil
	for _, o := range outcomes {
		value, found := metrics[o.Metric]
		c := Check{Outcome: o, Value: value, Found: found}
		c.Holds = found && (o.Min == nil || value >= *o.Min) && (o.Max == nil || value <= *o.Max)
		allHold = allHold && c.Holds
		r.Checks = append(r.Checks, c)
	}
	return allHold
}

// Metrics returns all numeric values of the result by their JSON path, without
// the timeline and the checks.
func (r *Result) Metrics() map[string]float64 {
	text, _ := json.Marshal(r) // Cannot fail: only plain types.
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
