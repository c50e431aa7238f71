package observe

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// stateTimeout limits one call of a state function.
const stateTimeout = 2 * time.Second

// stateFunc is a registered state function. At most one call runs at a time.
type stateFunc struct {
	read    func() any
	running atomic.Bool
}

// RegisterState registers a part of the state dump. read is called for each dump;
// it must not block for long and must return a value that can be encoded as JSON.
// RegisterState panics if the name is already used.
func (r *Registry) RegisterState(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states[name] != nil {
		panic("observe: state " + name + " is registered twice")
	}
	r.states[name] = &stateFunc{read: read}
}

// stateDump is the JSON body of a state dump.
type stateDump struct {
	Identity
	Time  time.Time      `json:"time"`
	State map[string]any `json:"state"`
}

// ServeState serves /debug/state, or one part of it for ?name=PART, with secrets
// redacted.
func (r *Registry) ServeState(w http.ResponseWriter, req *http.Request) {
	part := req.URL.Query().Get("name")
	dump := stateDump{Identity: r.id, Time: time.Now().UTC(), State: r.State(part)}
	if part != "" && len(dump.State) == 0 {
		http.Error(w, "no such part of the state", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump) // Fails only if the client has disconnected.
}

// State returns all parts of the state, or only the named part if part is not
// empty, with secrets redacted. The value of a part that fails or exceeds
// stateTimeout is a stateFailure.
func (r *Registry) State(part string) map[string]any {
	names, funcs := r.stateFuncs(part)
	state := make(map[string]any, len(names))
	for i, name := range names {
		state[name] = funcs[i].call()
	}
	return state
}

func (r *Registry) stateFuncs(part string) ([]string, []*stateFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.states {
		if part == "" || name == part {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	funcs := make([]*stateFunc, 0, len(names))
	for _, name := range names {
		funcs = append(funcs, r.states[name])
	}
	return names, funcs
}

// stateFailure replaces a part that could not be read.
type stateFailure struct {
	Failure string `json:"failure"`
}

// call reads the part within stateTimeout. While an earlier read is still running
// it starts no other, so a blocked part occupies only one goroutine.
func (s *stateFunc) call() any {
	if !s.running.CompareAndSwap(false, true) {
		return stateFailure{"an earlier read is still running"}
	}
	result := make(chan any, 1)
	go func() {
		defer s.running.Store(false)
		result <- s.readRedacted()
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

// readRedacted returns the part as decoded JSON with secrets redacted. It returns
// a stateFailure if the state function panics or its value cannot be encoded.
func (s *stateFunc) readRedacted() (value any) {
	defer func() {
		if recovered := recover(); recovered != nil {
			value = stateFailure{RedactText(fmt.Sprint("panic: ", recovered))}
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
