// Package replay sends recorded or generated traces to a deployment as an
// open-loop load, measures the latency of every response from the scheduled
// time of its request, and checks the metrics against expected outcomes.
package replay

import (
	"cmp"
	"slices"
	"time"
)

// Trace is a sequence of requests and events with their scheduled times.
type Trace struct {
	// Name is the name of the generator or of the trace file.
	Name string
	// Seed is the seed of the generator.
	Seed uint64
	// Model is the model of chat requests.
	Model string
	// Requests are sorted by Offset.
	Requests []Request
	// Events are applied to the deployment during the replay, sorted by Offset.
	Events []Event
}

// Request is one row of a trace.
type Request struct {
	// Offset is the scheduled time, relative to the start of the trace.
	Offset time.Duration
	// PromptTokens is the length of the prompt. OutputTokens is the length of the
	// requested output.
	PromptTokens, OutputTokens int
	Workspace                  string
	// Route is empty for a chat request, or "METHOD /path" for a plain service. A
	// path without a method is a GET.
	Route string
	// Priority is "interactive", "standard", "batch", or empty for the default
	// of the route.
	Priority string
	// Prefix is the name and the length in tokens of the prefix segment of the
	// prompt, such as "catalogue-3:8000"; empty for none.
	Prefix string
}

// Event is a change, such as a failure, applied to the deployment during a
// replay.
type Event struct {
	// Offset is the scheduled time, relative to the start of the trace.
	Offset time.Duration
	// Action is for example "lose-entry", "return-entry", "lose-domain" or
	// "return-domain". Target identifies the entry host or the failure domain.
	Action, Target string
}

// Duration returns the scheduled time of the last request.
func (t *Trace) Duration() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].Offset
}

// sort sorts requests and events by time. Entries with equal times keep their
// order.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.Offset, b.Offset) })
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.Offset, b.Offset) })
}

// totalTokens returns the tokens of prompt and output, which are charged against
// the workspace's rate.
func (r *Request) totalTokens() int64 { return int64(r.PromptTokens + r.OutputTokens) }

// Priority classes of requests. Callers of all but the last wait for the response.
const (
	classInteractive = "interactive"
	classStandard    = "standard"
	classBatch       = "batch"
)

// class returns the priority class, classStandard if the trace gives none.
func (r *Request) class() string { return cmp.Or(r.Priority, classStandard) }
