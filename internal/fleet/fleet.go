// Package fleet keeps an entry host's sessions to the agents of its endpoints:
// it follows the configuration, opens sessions to the host's subset of
// endpoints, feeds their states to the router, and lets running requests end
// before it closes a session.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Endpoint is an endpoint resource.
type Endpoint struct {
	Name string
	Spec resource.EndpointSpec
}

// Options configure a fleet.
type Options struct {
	// Host and Domain are the entry host's own.
	Host, Domain string
	// Dialer returns the dialer for the agent of an endpoint.
	Dialer func(endpoint string) *rpc.Dialer
	Stats  *rpc.Stats
	Router *route.Router
	// Subset is how many endpoints of each model the host has sessions to.
	Subset route.SubsetSize
	// RetireTimeout bounds how long a removed endpoint's requests may go on.
	RetireTimeout time.Duration
	// Observe hears every state of an endpoint's agent, and nil when the
	// session to it ends; it may be nil.
	Observe func(endpoint string, state *wire.AgentState)
	// Leaving says whether an endpoint is known to be on its way out; it may
	// be nil.
	Leaving func(endpoint string) bool
}

// Fleet holds the sessions of one entry host.
type Fleet struct {
	opts Options
	runs sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// link is a session to one endpoint's agent with what its resource says.
type link struct {
	*rpc.Link
	spec resource.EndpointSpec
	stop context.CancelFunc
}

// New returns a fleet without sessions.
func New(opts Options) *Fleet {
	return &Fleet{opts: opts, links: make(map[string]*link)}
}

// ServiceModel is the name under which the router knows the endpoints of a
// plain service.
func ServiceModel(service string) string { return "service/" + service }

// Reconcile opens and closes sessions so that the host has them to its subset
// of the endpoints and to those that it watches. New sessions end with ctx.
// It does not wait for connections.
func (f *Fleet) Reconcile(ctx context.Context, endpoints []Endpoint, watched []string) {
	wanted := f.subset(endpoints, watched)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, l := range f.links {
		e, ok := wanted[name]
		if ok && e.Agent == l.spec.Agent {
			l.spec = e
			continue
		}
		delete(f.links, name)
		f.retire(name, l)
	}
	for name, spec := range wanted {
		if f.links[name] == nil {
			f.links[name] = f.open(ctx, name, spec)
		}
	}
}

func (f *Fleet) subset(endpoints []Endpoint, watched []string) map[string]resource.EndpointSpec {
	specs := make(map[string]resource.EndpointSpec, len(endpoints))
	targets := make([]route.Target, 0, len(endpoints))
	for _, e := range endpoints {
		specs[e.Name] = e.Spec
		targets = append(targets, route.Target{Name: e.Name, Domain: e.Spec.Domain, Models: served(e.Spec)})
	}
	wanted := make(map[string]resource.EndpointSpec)
	for _, name := range route.Subset(f.opts.Host, f.opts.Domain, targets, f.opts.Subset) {
		wanted[name] = specs[name]
	}
	for _, name := range watched {
		if spec, ok := specs[name]; ok {
			wanted[name] = spec
		}
	}
	return wanted
}

// served is what an endpoint is ranked under before its agent was heard.
func served(spec resource.EndpointSpec) []string {
	if spec.Kind == resource.EndpointService {
		return []string{ServiceModel(spec.Service)}
	}
	if len(spec.Models) == 0 {
		return []string{"pool/" + spec.Pool}
	}
	return spec.Models
}

// open starts a link. The caller holds mu.
func (f *Fleet) open(ctx context.Context, name string, spec resource.EndpointSpec) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{spec: spec, stop: cancel}
	l.Link = rpc.NewLink(spec.Agent, f.opts.Dialer(name), f.opts.Stats, func(state *wire.AgentState) {
		f.observe(name, l, state)
	})
	f.runs.Go(func() { l.Run(ctx) })
	return l
}

// observe feeds a state to the router unless the link was replaced.
func (f *Fleet) observe(name string, l *link, state *wire.AgentState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[name] != l {
		return
	}
	if state == nil || state.Endpoint != name {
		f.opts.Router.Remove(name)
		f.report(name, nil)
		return
	}
	f.report(name, state)
	if l.spec.Kind == resource.EndpointService {
		state.Models = []string{ServiceModel(l.spec.Service)}
	}
	state.Draining = state.Draining || l.spec.Draining || f.leaving(name)
	f.opts.Router.Observe(time.Now(), state)
}

func (f *Fleet) report(name string, state *wire.AgentState) {
	if f.opts.Observe != nil {
		f.opts.Observe(name, state)
	}
}

func (f *Fleet) leaving(name string) bool { return f.opts.Leaving != nil && f.opts.Leaving(name) }

// retireInterval is how often a retiring session is looked at.
const retireInterval = 20 * time.Millisecond

// retire gives the endpoint no new work and closes its session once its
// requests are over. The caller holds mu.
func (f *Fleet) retire(name string, l *link) {
	f.opts.Router.Remove(name)
	f.runs.Go(func() {
		deadline := time.Now().Add(f.opts.RetireTimeout)
		for l.OpenCalls() > 0 && time.Now().Before(deadline) {
			time.Sleep(retireInterval)
		}
		l.stop()
	})
}

// Session returns the open session to the endpoint, or nil.
func (f *Fleet) Session(endpoint string) *rpc.Session {
	f.mu.Lock()
	l := f.links[endpoint]
	f.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.Session()
}

// Agent returns the address of the endpoint's agent, empty when unknown.
func (f *Fleet) Agent(endpoint string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[endpoint]; l != nil {
		return l.spec.Agent
	}
	return ""
}

// States returns the last state of each endpoint that is heard.
func (f *Fleet) States() map[string]*wire.AgentState {
	f.mu.Lock()
	links := make(map[string]*link, len(f.links))
	for name, l := range f.links {
		links[name] = l
	}
	f.mu.Unlock()
	states := make(map[string]*wire.AgentState, len(links))
	for name, l := range links {
		if state, _ := l.State(); state != nil {
			states[name] = state
		}
	}
	return states
}

// Wait returns once all sessions are closed; the context of Reconcile must
// have ended.
func (f *Fleet) Wait() { f.runs.Wait() }
