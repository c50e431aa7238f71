package observe

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// stateTimeout is how long one state function may take.
const stateTimeout = 2 * time.Second

// stateFunc is a registered state function. At most one call runs at a time.
type stateFunc struct {
	read    func() any
	running atomic.Bool
}

// RegisterState adds a part of the state dump. read is called for each dump,
// must not block for long, and returns a value that encodes as JSON. A name
// used twice panics.
func (r *Registry) RegisterState(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states[name] != nil {
		panic("observe: state " + name + " is registered twice")
	}
	r.states[name] = &stateFunc{read: read}
}

// stateDump is the whole dump.
type stateDump struct {
	Identity
	Time  time.Time      `json:"time"`
	State map[string]any `json:"state"`
}

// ServeState answers /debug/state, or one part of it for ?name=PART, with
// keys redacted.
func (r *Registry) ServeState(w http.ResponseWriter, req *http.Request) {
	only := req.URL.Query().Get("name")
	dump := stateDump{Identity: r.id, Time: time.Now().UTC(), State: r.State(only)}
	if only != "" && len(dump.State) == 0 {
		http.Error(w, "no such part of the state", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump) // The reader went away.
}

// State returns all parts of the state, or only the one named, with keys
// redacted. A part that takes too long or fails says so in its place.
func (r *Registry) State(only string) map[string]any {
	names, functions := r.stateFuncs(only)
	state := make(map[string]any, len(names))
	for i, name := range names {
		state[name] = functions[i].call()
	}
	return state
}

func (r *Registry) stateFuncs(only string) ([]string, []*stateFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.states {
		if only == "" || name == only {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	functions := make([]*stateFunc, 0, len(names))
	for _, name := range names {
		functions = append(functions, r.states[name])
	}
	return names, functions
}

// stateFailure stands in place of a part that could not be read.
type stateFailure struct {
	Failure string `json:"failure"`
}

// call reads one part within stateTimeout. A call that is still running is not
// joined by another, so a stuck part holds one goroutine.
func (s *stateFunc) call() any {
	if !s.running.CompareAndSwap(false, true) {
		return stateFailure{"an earlier read is still running"}
	}
	result := make(chan any, 1)
	go func() {
		defer s.running.Store(false)
		result <- s.safely()
	}()
	timer := time.NewTimer(stateTimeout)
	defer timer.Stop()
	select {
	case value := <-result:
		return value
	case <-timer.C:
		return stateFailure{"timeout"}
	}
}

// safely returns the part as redacted JSON values.
func (s *stateFunc) safely() (value any) {
	defer func() {
		if reason := recover(); reason != nil {
			value = stateFailure{RedactText(fmt.Sprint("panic: ", reason))}
		}
	}()
	text, err := json.Marshal(s.read())
	if err != nil {
		return stateFailure{RedactText(err.Error())}
	}
	var decoded any
	if err := json.Unmarshal(text, &decoded); err != nil {
		return stateFailure{err.Error()}
	}
	return redactJSON(decoded)
}
