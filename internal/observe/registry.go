package observe

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Registry holds the counters, histograms and state functions of one process.
// It is safe for concurrent use.
type Registry struct {
	id Identity

	mu     sync.Mutex // guards names and states
	names  map[string]bool
	vars   []expvar.KeyValue
	states map[string]*stateFunc
}

// NewRegistry returns an empty registry of the process.
func NewRegistry(id Identity) *Registry {
	return &Registry{
		id:     id,
		names:  make(map[string]bool),
		states: make(map[string]*stateFunc),
	}
}

// NewCounter adds a counter. A name used twice is a programming error and panics.
func (r *Registry) NewCounter(name string) *expvar.Int {
	counter := new(expvar.Int)
	r.Publish(name, counter)
	return counter
}

// NewLabelled adds a counter per label, for at most bound labels.
func (r *Registry) NewLabelled(name string, bound int) *Labelled {
	labelled := newLabelled(bound)
	r.Publish(name, labelled)
	return labelled
}

// NewHistogram adds a latency histogram.
func (r *Registry) NewHistogram(name string) *Histogram {
	histogram := newHistogram()
	r.Publish(name, histogram)
	return histogram
}

// NewGauge adds a value that is computed when it is read.
func (r *Registry) NewGauge(name string, read func() any) {
	r.Publish(name, expvar.Func(read))
}

// Publish adds any variable. A name used twice panics.
func (r *Registry) Publish(name string, v expvar.Var) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name] {
		panic("observe: variable " + name + " is published twice")
	}
	r.names[name] = true
	r.vars = append(r.vars, expvar.KeyValue{Key: name, Value: v})
}

// ServeVars answers /debug/vars: the program's expvar variables and those of
// the registry, as one JSON object.
func (r *Registry) ServeVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{")
	separator := "\n"
	write := func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" { // A command line may hold what is not to be shown.
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
