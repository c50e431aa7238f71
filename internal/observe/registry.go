package observe

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Registry contains the counters, histograms and state functions of one process.
// It is safe for concurrent use.
type Registry struct {
	id Identity

	mu     sync.Mutex // guards the fields below
	names  map[string]bool
	vars   []expvar.KeyValue
	states map[string]*stateFunc
}

// NewRegistry returns an empty registry for the process.
func NewRegistry(id Identity) *Registry {
	return &Registry{
		id:     id,
		names:  make(map[string]bool),
		states: make(map[string]*stateFunc),
	}
}

// NewCounter registers a counter. It panics if the name is already used, which is
// a programming error.
func (r *Registry) NewCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	r.Publish(name, counter)
	return counter
}

// NewLabelledCounter registers a set of counters by label, for at most maxLabels
// labels.
func (r *Registry) NewLabelledCounter(name string, maxLabels int) *LabelledCounter {
	counter := newLabelledCounter(maxLabels)
	r.Publish(name, counter)
	return counter
}

// NewHistogram registers a latency histogram.
func (r *Registry) NewHistogram(name string) *Histogram {
	histogram := newHistogram()
	r.Publish(name, histogram)
	return histogram
}

// NewGauge registers a value that read computes on each request.
func (r *Registry) NewGauge(name string, read func() any) {
	r.Publish(name, expvar.Func(read))
}

// Publish registers a variable. It panics if the name is already used.
func (r *Registry) Publish(name string, v expvar.Var) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name] {
		panic("observe: variable " + name + " is published twice")
	}
	r.names[name] = true
	r.vars = append(r.vars, expvar.KeyValue{Key: name, Value: v})
}

// ServeVars serves /debug/vars: the global expvar variables and those of the
// registry, as one JSON object.
func (r *Registry) ServeVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{")
	separator := "\n"
	write := func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" { // A command line may contain secrets.
			write(kv)
		}
	})
	for _, kv := range r.variables() {
		write(kv)
	}
	_, _ = fmt.Fprint(w, "\n}\n")
}

func (r *Registry) variables() []expvar.KeyValue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]expvar.KeyValue(nil), r.vars...)
}
