// Package catalog provides the operator's configuration in the form the gateway
// uses: an immutable snapshot of routes, services and workspaces per version,
// and a cache that tracks whether the current snapshot is confirmed to be up to
// date.
package catalog

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"
)

// Kind determines how requests of a route may be executed.
type Kind uint8

const (
	// AtMostOnce requests are executed at most once.
	AtMostOnce Kind = iota
	// Repeatable requests may be executed more than once.
	Repeatable
	// Stream requests are generations answered as a stream of events. They are
	// executed at most once unless the route is Resumable.
	Stream
)

// Route is one path prefix of a host name.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Resumable streams may be continued on another endpoint.
	Resumable bool
	// Public routes accept requests without a key.
	Public bool
	// Timeout bounds a request. Target is the latency objective, for streams
	// that of the first event. TargetGap is the objective for the longest gap
	// between events.
	Timeout, Target, TargetGap time.Duration
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of endpoints that may execute one request.
	Attempts int
	// Services are the services that requests of the route are sent to, by
	// weight.
	Services []WeightedService
}

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one endpoint, from
	// all callers together.
	MaxConnections int
	// ColdTime is how long an endpoint is cold after its start. ColdRate is the number of
	// requests a second that it then takes from all hosts together; 0 if it is not limited.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes a model engine.
type Engine struct {
	// CapacityTokens is the KV cache capacity in tokens.
	CapacityTokens int64
	// TokenBytes is the KV cache size of one token in bytes.
	TokenBytes int64
	// LinkMbps is the bandwidth for transfers in Mbit/s.
	LinkMbps float64
	// StageSwitch is how long an endpoint is unavailable when its stage
	// changes.
	StageSwitch time.Duration
}

// Workspace is a customer with API keys and a rate limit.
type Workspace struct {
	Name string
	// Priority is the priority of the workspace's requests; if negative, that
	// of the route applies.
	Priority int
	// Rate is the rate limit in tokens per second; 0 means no limit. Burst is
	// the burst in tokens.
	Rate, Burst float64
	// DefaultTokens is the charge for a request without token counts.
	DefaultTokens int64
}

// Limits bounds the requests of callers.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// routes holds the routes by lower-case host name, longest prefix first.
	routes map[string][]*Route
	// keys holds the workspaces by the SHA-256 hash of their keys.
	keys map[[sha256.Size]byte]*Workspace
	// workspacesByName holds all workspaces by name.
	workspacesByName map[string]*Workspace
}

// New returns a catalog. keys maps a key to the name of its workspace; only
// hashes of keys are stored.
func New(version int64, limits Limits, routes []*Route, services []*Service, workspaces []*Workspace, keys map[string]string) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Services:         make(map[string]*Service, len(services)),
		routes:           make(map[string][]*Route),
		keys:             make(map[[sha256.Size]byte]*Workspace, len(keys)),
		workspacesByName: make(map[string]*Workspace, len(workspaces)),
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
		c.workspacesByName[w.Name] = w
	}
	for key, name := range keys {
		if w := c.workspacesByName[name]; w != nil {
			c.keys[sha256.Sum256([]byte(key))] = w
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix of path. A port
// in host is ignored.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that the key belongs to. The lookup uses the
// key's hash, so its timing reveals nothing about other keys.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	w, ok := c.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// Workspaces returns all workspaces by name. The caller must not modify the
// map.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspacesByName }

// RequiresKeys reports whether requests to routes that are not public need a key.
func (c *Catalog) RequiresKeys() bool { return len(c.workspacesByName) > 0 }
