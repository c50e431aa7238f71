// Package fleet maintains an entry host's sessions to the agents of its
// endpoints. It reconciles the sessions with the configuration, opens sessions
// to the host's subset of endpoints, passes agent states to the router, and
// waits for in-flight requests before it closes a session.
package fleet

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/route"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Endpoint is the name and specification of an endpoint resource.
type Endpoint struct {
	Name string
	Spec resource.EndpointSpec
}

// Options configures a fleet.
type Options struct {
	// Host and Domain are the entry host's name and failure domain.
	Host, Domain string
	// Dialer returns the dialer for the agent of an endpoint.
	Dialer func(endpoint string) *rpc.Dialer
	// Stats receives the counters of all sessions.
	Stats *rpc.Stats
	// Router receives the states of the agents.
	Router *route.Router
	// Subset is the number of endpoints per model that the host has sessions to.
	Subset route.SubsetSize
	// RetireTimeout bounds the time for which in-flight requests of a removed
	// endpoint may continue.
	RetireTimeout time.Duration
	// Observe is called with each state received from an endpoint's agent, and
	// with nil when the session ends or the agent belongs to another endpoint. It
	// is no longer called for an endpoint that Reconcile has removed. It is called
	// with the fleet's lock held and must not call the fleet. It may be nil.
	Observe func(endpoint string, state *wire.AgentState)
	// Leaving reports whether an endpoint is known to be leaving; such an endpoint
	// is treated as draining. It is called with the fleet's lock held and must not
	// call the fleet. It may be nil.
	Leaving func(endpoint string) bool
}

// Fleet manages the sessions of one entry host. It is safe for concurrent use.
type Fleet struct {
	opts Options
	wg   sync.WaitGroup

	mu sync.Mutex
	// links holds the links by endpoint name.
	links map[string]*link
}

// link is the connection to one endpoint's agent and the endpoint's specification.
type link struct {
	*rpc.Link
	spec   resource.EndpointSpec
	cancel context.CancelFunc
	// seen is the last state as the router sees it; nil while there is none. It is
	// guarded by Fleet.mu and not modified.
	seen *wire.AgentState
}

// New returns a fleet without sessions.
func New(opts Options) *Fleet {
	return &Fleet{opts: opts, links: make(map[string]*link)}
}

// ServiceModel returns the model name that the router uses for the endpoints of
// a plain service.
func ServiceModel(service string) string { return "service/" + service }

// Reconcile opens and closes sessions so that the host has one to each endpoint
// of its subset and to each watched endpoint. New sessions end with ctx.
// Reconcile does not wait for connections to be established.
func (f *Fleet) Reconcile(ctx context.Context, endpoints []Endpoint, watched []string) {
	wanted := f.wantedEndpoints(endpoints, watched)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, l := range f.links {
		e, ok := wanted[name]
		if ok && e.Agent == l.spec.Agent {
			l.spec = e
			continue
		}
		delete(f.links, name)
		f.retireLink(name, l)
	}
	for name, spec := range wanted {
		if f.links[name] == nil {
			f.links[name] = f.openLink(ctx, name, spec)
		}
	}
}

// wantedEndpoints returns the specifications of the endpoints in the host's
// subset and of the watched ones, by name.
func (f *Fleet) wantedEndpoints(endpoints []Endpoint, watched []string) map[string]resource.EndpointSpec {
	specs := make(map[string]resource.EndpointSpec, len(endpoints))
	targets := make([]route.Target, 0, len(endpoints))
	for _, e := range endpoints {
		specs[e.Name] = e.Spec
		targets = append(targets, route.Target{Name: e.Name, Domain: e.Spec.Domain, Models: rankedModels(e.Spec)})
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

// rankedModels returns the models by which an endpoint is ranked for the subset.
// It uses the specification only, since the agent may not have reported yet.
func rankedModels(spec resource.EndpointSpec) []string {
	if spec.Kind == resource.EndpointService {
		return []string{ServiceModel(spec.Service)}
	}
	if len(spec.Models) == 0 {
		return []string{"pool/" + spec.Pool}
	}
	return spec.Models
}

// openLink starts a link. The caller must hold mu.
func (f *Fleet) openLink(ctx context.Context, name string, spec resource.EndpointSpec) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{spec: spec, cancel: cancel}
	l.Link = rpc.NewLink(spec.Agent, f.opts.Dialer(name), f.opts.Stats, func(state *wire.AgentState) {
		f.observe(name, l, state)
	})
	f.wg.Go(func() { l.Run(ctx) })
	return l
}

// observe passes a state to the router and to Options.Observe, unless the link has
// been removed or replaced. It removes the endpoint from the router if the session
// ended or the agent reports another endpoint.
func (f *Fleet) observe(name string, l *link, state *wire.AgentState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[name] != l {
		return
	}
	if state == nil || state.Endpoint != name {
		l.seen = nil
		f.opts.Router.Remove(name)
		f.notifyObserver(name, nil)
		return
	}
	f.notifyObserver(name, state)
	// The link's own copy may be read meanwhile.
	state = proto.Clone(state).(*wire.AgentState)
	if l.spec.Kind == resource.EndpointService {
		state.Models = []string{ServiceModel(l.spec.Service)}
	}
	state.Draining = state.Draining || l.spec.Draining || f.isLeaving(name)
	l.seen = state
	f.opts.Router.Observe(time.Now(), state)
}

// notifyObserver calls Options.Observe if it is set.
func (f *Fleet) notifyObserver(name string, state *wire.AgentState) {
	if f.opts.Observe != nil {
		f.opts.Observe(name, state)
	}
}

func (f *Fleet) isLeaving(name string) bool { return f.opts.Leaving != nil && f.opts.Leaving(name) }

// retirePollInterval is the interval at which a retiring session is checked for
// open calls.
const retirePollInterval = 20 * time.Millisecond

// retireLink removes the endpoint from the router and closes its session once it
// has no open calls or Options.RetireTimeout has passed. The caller must hold mu.
func (f *Fleet) retireLink(name string, l *link) {
	f.opts.Router.Remove(name)
	f.wg.Go(func() {
		deadline := time.Now().Add(f.opts.RetireTimeout)
		for l.OpenCalls() > 0 && time.Now().Before(deadline) {
			time.Sleep(retirePollInterval)
		}
		l.cancel()
	})
}

// Session returns the open session to the endpoint, or nil if there is none.
func (f *Fleet) Session(endpoint string) *rpc.Session {
	f.mu.Lock()
	l := f.links[endpoint]
	f.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.Session()
}

// Agent returns the address of the endpoint's agent, or an empty string if the
// fleet has no link to the endpoint.
func (f *Fleet) Agent(endpoint string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[endpoint]; l != nil {
		return l.spec.Agent
	}
	return ""
}

// States returns the last state of each connected endpoint as the router sees it, by name.
// The caller must not modify it.
func (f *Fleet) States() map[string]*wire.AgentState {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make(map[string]*wire.AgentState, len(f.links))
	for name, l := range f.links {
		if l.seen != nil {
			states[name] = l.seen
		}
	}
	return states
}

// Wait blocks until all sessions are closed. The contexts passed to Reconcile must
// have ended.
func (f *Fleet) Wait() { f.wg.Wait() }
