// Package catalog holds the operator's configuration as the gateway uses it:
// routes, services and workspaces, in one immutable snapshot a version, and
// the proof that a snapshot is current.
package catalog

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"
)

// Kind says what a route's requests may bear.
type Kind uint8

const (
	// Once marks requests that run at most once.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks generations answered as a series of events. They run at
	// most once unless the route is Resumable.
	Stream
)

// Route is one path prefix of a host name.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Public routes take requests without a key.
	Public bool
	// Timeout bounds a request, Target is the latency of a good answer (of the
	// first event for streams), TargetGap the longest good pause between events.
	Timeout, Target, TargetGap time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// Attempts bounds the endpoints that may run one request.
	Attempts int
	// Services are the services that the route's requests go to, by weight.
	Services []WeightedService
}

// WeightedService is one service of a route and its part of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is what one endpoint takes from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes a model engine.
type Engine struct {
	// MemoryTokens is the KV cache in tokens, TokenBytes that of one token, and
	// LinkMbps what moves it.
	MemoryTokens int64
	TokenBytes   int64
	LinkMbps     float64
	// StageSwitch is how long an endpoint is away when its stage changes.
	StageSwitch time.Duration
}

// Workspace is a customer with keys and a rate.
type Workspace struct {
	Name string
	// Priority ranks the workspace's requests, or is negative to leave that to
	// the route.
	Priority int
	// Rate and Burst are in tokens a second and tokens; a Rate of 0 is no limit.
	Rate, Burst float64
	// PlainTokens is what a request without token counts is charged.
	PlainTokens int64
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Catalog is one version of the configuration. It is not changed once built.
type Catalog struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	routes   map[string][]*Route
	keys     map[[sha256.Size]byte]*Workspace
	// spaces are all workspaces by name.
	spaces map[string]*Workspace
}

// New builds a catalog. Keys are held as hashes; keys maps a key to the name
// of its workspace.
func New(version int64, limits Limits, routes []*Route, services []*Service, workspaces []*Workspace, keys map[string]string) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route),
		keys:     make(map[[sha256.Size]byte]*Workspace, len(keys)),
		spaces:   make(map[string]*Workspace, len(workspaces)),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, rs := range c.routes {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, w := range workspaces {
		c.spaces[w.Name] = w
	}
	for key, name := range keys {
		if w := c.spaces[name]; w != nil {
			c.keys[sha256.Sum256([]byte(key))] = w
		}
	}
	return c
}

// Route returns the route with the longest prefix of path at host, whose port
// is ignored.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds the key. The lookup is by the
// key's hash, so its time tells nothing about other keys.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	w, ok := c.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// Workspaces returns all workspaces by name; the caller does not change them.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.spaces }

// Keyed says whether requests need a key where their route is not public.
func (c *Catalog) Keyed() bool { return len(c.spaces) > 0 }
