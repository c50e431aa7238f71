// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts, which lags behind the actual state. A List implements backing.HostList
// and also serves the wire format of backing.HTTPHostList.
package hostlist

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/fault"
	"github.com/acacialink/acacialink/internal/standin/jsonhttp"
	"github.com/acacialink/acacialink/internal/standin/record"
	"github.com/gorilla/mux"
)

// Options configures a List.
type Options struct {
	// Lag is the age of the list returned to callers.
	Lag time.Duration
	// Hosts is the initial list.
	Hosts []backing.Host
}

// List holds the current hosts and the recent versions of the list. It is safe
// for concurrent use.
type List struct {
	lag     time.Duration
	faults  *fault.Switch
	changes record.Log[Change]

	// mu guards the fields below.
	mu    sync.Mutex
	hosts map[string]backing.Host
	// versions holds the versions that callers may still receive, oldest first.
	versions []version
}

// Change is one recorded change of the list.
type Change struct {
	At time.Time `json:"at"`
	backing.Host
	Removed bool `json:"removed,omitempty"`
}

// Record returns the changes made by Set and Remove, oldest first.
func (l *List) Record() []Change { return l.changes.All() }

type version struct {
	at    time.Time
	hosts []backing.Host
}

var _ backing.HostList = (*List)(nil)

// New returns a list of the hosts in o.
func New(o Options) *List {
	l := &List{lag: o.Lag, faults: fault.New(0), hosts: make(map[string]backing.Host)}
	for _, h := range o.Hosts {
		l.hosts[h.Name] = h
	}
	l.addVersion()
	return l
}

// Set adds a host or replaces the host of the same name.
func (l *List) Set(h backing.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h.Name] = h
	l.changes.Add(Change{At: time.Now(), Host: h})
	l.addVersion()
}

// Remove removes a host from the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes.Add(Change{At: time.Now(), Host: l.hosts[name], Removed: true})
	delete(l.hosts, name)
	l.addVersion()
}

// addVersion appends the current hosts to the versions. The caller must hold mu.
func (l *List) addVersion() {
	hosts := make([]backing.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b backing.Host) int { return cmp.Compare(a.Name, b.Name) })
	l.versions = append(l.versions, version{at: time.Now(), hosts: hosts})
	l.prune()
}

// prune drops the versions that are superseded by one at least as old as the
// lag. The caller must hold mu.
func (l *List) prune() {
	for len(l.versions) > 1 && time.Since(l.versions[1].at) >= l.lag {
		l.versions = l.versions[1:]
	}
}

// Hosts implements backing.HostList. It returns the list as it was Options.Lag
// ago.
func (l *List) Hosts(context.Context) ([]backing.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	return slices.Clone(l.versions[0].hosts), nil
}

// Handler returns the HTTP API. PUT /hosts/NAME sets a host, DELETE removes it.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	l.faults.Register(r)
	r.HandleFunc("/v1/hosts", l.faults.Wrap(func(w http.ResponseWriter, req *http.Request) {
		hosts, err := l.Hosts(req.Context())
		jsonhttp.WriteResult(w, hosts, err)
	})).Methods(http.MethodGet)
	r.HandleFunc("/hosts/{name}", l.serveSet).Methods(http.MethodPut)
	r.HandleFunc("/hosts/{name}", func(w http.ResponseWriter, req *http.Request) {
		l.Remove(mux.Vars(req)["name"])
		jsonhttp.Write(w, struct{}{})
	}).Methods(http.MethodDelete)
	r.HandleFunc("/record", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, l.Record())
	}).Methods(http.MethodGet)
	return r
}

func (l *List) serveSet(w http.ResponseWriter, r *http.Request) {
	var h backing.Host
	if jsonhttp.Read(w, r, &h) {
		h.Name = mux.Vars(r)["name"]
		l.Set(h)
		jsonhttp.Write(w, h)
	}
}
