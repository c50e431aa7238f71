// Package hostlist is a stand-in for the platform's lagging list of live and
// leaving hosts. A List is a backing.HostList itself and also serves the wire
// format of backing.HTTPHostList.
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

// Options configure a List.
type Options struct {
	// Lag is how old the list is that callers get.
	Lag time.Duration
	// Hosts are in the list at the start.
	Hosts []backing.Host
}

// List holds the hosts and their past.
type List struct {
	lag      time.Duration
	switches *fault.Switch
	changes  record.Log[Change]

	// mu guards all below.
	mu    sync.Mutex
	hosts map[string]backing.Host
	// past holds the versions that callers may still get, oldest first.
	past []version
}

// Change is one change of the list.
type Change struct {
	At time.Time `json:"at"`
	backing.Host
	Removed bool `json:"removed,omitempty"`
}

// Record returns the changes since the start.
func (l *List) Record() []Change { return l.changes.All() }

type version struct {
	at    time.Time
	hosts []backing.Host
}

var _ backing.HostList = (*List)(nil)

// New returns a list.
func New(o Options) *List {
	l := &List{lag: o.Lag, switches: fault.New(0), hosts: make(map[string]backing.Host)}
	for _, h := range o.Hosts {
		l.hosts[h.Name] = h
	}
	l.keep()
	return l
}

// Set adds or changes a host.
func (l *List) Set(h backing.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h.Name] = h
	l.changes.Add(Change{At: time.Now(), Host: h})
	l.keep()
}

// Remove takes a host off the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes.Add(Change{At: time.Now(), Host: l.hosts[name], Removed: true})
	delete(l.hosts, name)
	l.keep()
}

// keep notes the present version. Called with mu held.
func (l *List) keep() {
	hosts := make([]backing.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b backing.Host) int { return cmp.Compare(a.Name, b.Name) })
	l.past = append(l.past, version{at: time.Now(), hosts: hosts})
	l.prune()
}

// prune drops versions that a newer one has replaced for all callers.
func (l *List) prune() {
	for len(l.past) > 1 && time.Since(l.past[1].at) >= l.lag {
		l.past = l.past[1:]
	}
}

// Hosts implements backing.HostList: the list as it was Options.Lag ago.
func (l *List) Hosts(context.Context) ([]backing.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	return slices.Clone(l.past[0].hosts), nil
}

// Handler returns the HTTP API. PUT /hosts/NAME sets a host, DELETE removes it.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	l.switches.Register(r)
	r.HandleFunc("/v1/hosts", l.switches.Wrap(func(w http.ResponseWriter, req *http.Request) {
		hosts, err := l.Hosts(req.Context())
		jsonhttp.Answer(w, hosts, err)
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
