// Package replay sends recorded or generated traces to a deployment in an open
// loop, measures every answer from the moment at which its request was due, and
// checks the figures against outcomes that were stated before.
package replay

import (
	"cmp"
	"slices"
	"time"
)

// Trace is a list of requests with the moments at which they are due.
type Trace struct {
	// Name is the generator's or the file's name, Seed the generator's seed.
	Name string
	Seed uint64
	// Model is the model that chats name.
	Model string
	// Requests are in the order of At.
	Requests []Request
	// Events are what happens to the deployment meanwhile, in the order of At.
	Events []Event
}

// Request is one row of a trace.
type Request struct {
	// At is counted from the start of the trace.
	At time.Duration
	// Context and Generated are the tokens of the prompt and of the answer.
	Context, Generated int
	Workspace          string
	// Route is empty for a chat, or "METHOD /path" for a plain service. A
	// path without a method is a GET.
	Route string
	// Priority is "interactive", "standard", "batch", or empty for the route's.
	Priority string
	// Prefix names a text that begins the prompt, with its tokens, such as
	// "catalogue-3:8000"; empty for none.
	Prefix string
}

// Event is something that the deployment is made to do during a replay.
type Event struct {
	At time.Duration
	// Action is for example "lose-entry", "return-entry", "lose-domain" or
	// "return-domain"; Target names whom.
	Action, Target string
}

// Duration returns when the last request is due.
func (t *Trace) Duration() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At
}

// sort brings requests and events into their order.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// tokens is what a request counts against its workspace's rate.
func (r *Request) tokens() int64 { return int64(r.Context + r.Generated) }

// Classes of requests. Callers of all but the last wait for the answer.
const (
	classInteractive = "interactive"
	classStandard    = "standard"
	classBatch       = "batch"
)

// class returns the request's class.
func (r *Request) class() string { return cmp.Or(r.Priority, classStandard) }
