//go:build linux

package fault

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/acacialink/acacialink/internal/audit"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/standin"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/provider"
	"github.com/acacialink/acacialink/internal/standin/service"
)

const operatorToken = "test-operator"

// endpointStart is how long an ordered endpoint takes to start.
const endpointStart = 2 * time.Second

// plan says what a site consists of.
type plan struct {
	entries, engines, services int
	// least is the pool's least number of engines in each domain.
	least int
	// rates are the workspaces' rates and bursts in tokens by name.
	rates map[string][2]int64
}

// domains are the failure domains; processes are spread over them in turn.
var domains = []string{"north", "south", "west"}

func domainOf(i int) string { return domains[i%len(domains)] }

// host is one process of the site with its links.
type host struct {
	*process
	domain string
	// callers and operators are the addresses of an entry process.
	callers, operators string
	// store is the link to the store; inbound that from entry processes, and
	// endpoint that to the endpoint beside an agent.
	store, inbound, endpoint *link
}

// site is a running deployment of processes.
type site struct {
	t         *testing.T
	dir       string
	authority *certs.Authority
	standins  *standin.Deployment
	entries   []*host
	agents    []*host
	resources []resource.Resource
	keys      []keySpec
	// changes are the changes of the configuration that were accepted.
	changes []audit.ConfigChange
	// mu guards what the provider changes: ordered are its engines.
	mu      sync.Mutex
	ordered []*engine.Engine
	// over is set when the test ends; no endpoint starts from then on.
	over bool
	// workspaces are the declared ones with their rates.
	workspaces []audit.Workspace
}

// sites bounds how many sites run at a time.
var sites = make(chan struct{}, 4)

// newSite starts the site and waits until its configuration is in force. The
// test runs beside others from then on.
func newSite(t *testing.T, p plan) *site {
	t.Helper()
	t.Parallel()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	s := &site{t: t, dir: t.TempDir()}
	var err error
	if s.authority, err = certs.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	platformOptions := standin.Options{Provider: provider.Options{StartTime: endpointStart, Start: s.provide}}
	if s.standins, err = standin.Start(platformOptions); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.standins.Close)
	s.declare(p)
	for i := range p.engines {
		s.addEngine(i)
	}
	for i := range p.services {
		s.addService(i)
	}
	for i := range p.entries {
		s.addEntry(i)
	}
	t.Cleanup(s.close)
	s.configure()
	return s
}

func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
}

func (s *site) addEntry(i int) {
	s.t.Helper()
	h := &host{domain: domainOf(i), callers: freeAddress(s.t), operators: freeAddress(s.t)}
	name := fmt.Sprintf("entry-%d", i+1)
	peers := freeAddress(s.t)
	h.inbound = newLink(s.t, "peer/"+name, peers)
	h.store = newLink(s.t, "store/"+name, s.standins.Store.Address())
	s.standins.HostList.Standin.Set(backing.Host{
		Name: name, Domain: h.domain, State: backing.HostLive, Address: h.inbound.address(),
	})
	h.process = s.process("entry", name, map[string]any{
		"region": "test",
		"domain": h.domain,
		"listen": map[string]string{"callers": h.callers, "operators": h.operators, "peers": peers},
		"member": map[string]any{"host_list": "500ms"},
		// Control work comes in seconds, so that a short run sees it.
		"usage":     map[string]any{"window": "2s", "flush": "500ms", "settle": "1s"},
		"role":      map[string]any{"interval": "1s", "hold": "5s"},
		"pool":      map[string]any{"interval": "1s"},
		"operators": operators(),
		"platform": map[string]string{
			"store":      "http://" + h.store.address() + "/clients/" + name,
			"host_list":  s.standins.HostList.URL(),
			"provider":   s.standins.Provider.URL(),
			"usage_sink": s.standins.UsageSink.URL(),
			"weights":    s.standins.Weights.URL(),
		},
	})
	s.entries = append(s.entries, h)
}

func (s *site) addEngine(i int) {
	s.t.Helper()
	name := fmt.Sprintf("engine-%d", i+1)
	// Every second engine checks fencing numbers.
	checks := i%2 == 0
	instance, err := s.standins.AddEngine(engine.Options{Name: name, Models: []string{model}, ChecksFencing: checks})
	if err != nil {
		s.t.Fatal(err)
	}
	s.addAgent(name, domainOf(i), instance.Address(), map[string]any{
		"type": "engine", "pool": "engines", "checks_fencing": checks, "models": []string{model},
	})
}

func (s *site) addService(i int) {
	s.t.Helper()
	name := fmt.Sprintf("orders-%d", i+1)
	instance, err := s.standins.AddService(service.Options{Name: name})
	if err != nil {
		s.t.Fatal(err)
	}
	s.addAgent(name, domainOf(i), instance.Address(), map[string]any{
		"type": "service", "service": "orders", "checks_fencing": false,
	})
}

// addAgent starts the agent beside an endpoint and declares the endpoint.
func (s *site) addAgent(name, domain, endpoint string, spec map[string]any) {
	s.t.Helper()
	h := s.startAgent(name, domain, endpoint, spec)
	s.agents = append(s.agents, h)
	spec["domain"] = domain
	spec["agent"] = h.inbound.address()
	s.add("endpoint", name, spec)
}

func (s *site) startAgent(name, domain, endpoint string, spec map[string]any) *host {
	s.t.Helper()
	listen := freeAddress(s.t)
	h := &host{domain: domain, operators: freeAddress(s.t)}
	h.inbound = newLink(s.t, "agent/"+name, listen)
	h.endpoint = newLink(s.t, "endpoint/"+name, endpoint)
	h.store = newLink(s.t, "store/"+name, s.standins.Store.Address())
	h.process = s.process("agent", name, map[string]any{
		"domain":          domain,
		"listen":          listen,
		"operator_listen": h.operators,
		"operators":       operators(),
		"store":           "http://" + h.store.address() + "/clients/" + name,
		"endpoint": map[string]any{
			"type": spec["type"], "url": "http://" + h.endpoint.address(), "checks_fencing": spec["checks_fencing"],
		},
	})
	return h
}

// provide starts an endpoint that the provider was asked for.
func (s *site) provide(o backing.EndpointOrder) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return ""
	}
	e := engine.New(engine.Options{Name: o.ID, Models: []string{model}, ChecksFencing: true})
	server, err := standin.Listen("127.0.0.1:0", e.Handler())
	if err != nil {
		s.t.Errorf("start ordered engine: %v", err)
		return ""
	}
	s.t.Cleanup(func() { _ = server.Close() })
	s.ordered = append(s.ordered, e)
	spec := map[string]any{"type": "engine", "checks_fencing": true}
	return s.startAgent(o.ID, o.Domain, server.Address(), spec).inbound.address()
}

// process writes the settings and certificate of a process and starts it.
func (s *site) process(kind, name string, settings map[string]any) *process {
	s.t.Helper()
	pair, err := s.authority.Issue(certs.Role(kind), name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		s.t.Fatal(err)
	}
	files, err := s.authority.WriteFiles(s.dir, name, pair)
	if err != nil {
		s.t.Fatal(err)
	}
	settings["kind"] = kind
	settings["name"] = name
	settings["tls"] = map[string]string{"ca": files.CA, "cert": files.Cert, "key": files.Key}
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return newProcess(s.t, name, kind, "--settings", path)
}

func operators() []map[string]string {
	sum := sha256.Sum256([]byte(operatorToken))
	return []map[string]string{{"name": "test", "token_sha256": hex.EncodeToString(sum[:])}}
}

// agent returns the agent beside the endpoint with the name.
func (s *site) agent(name string) *host {
	s.t.Helper()
	for _, h := range s.agents {
		if h.name == name {
			return h
		}
	}
	s.t.Fatalf("no agent %s", name)
	return nil
}

func operatorURLs(entries []*host) []string {
	urls := make([]string, 0, len(entries))
	for _, h := range entries {
		urls = append(urls, "http://"+strings.TrimSpace(h.operators))
	}
	return urls
}
