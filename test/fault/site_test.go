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

// endpointStartTime is the start-up time of an endpoint ordered from the
// provider.
const endpointStartTime = 2 * time.Second

// siteSpec describes the processes and limits of a site.
type siteSpec struct {
	entries, engines, services int
	// minEngines is the pool's minimum number of engines per failure domain.
	minEngines int
	// rates maps a workspace to its rate and burst: tokens per second and tokens.
	rates map[string][2]int64
}

// domains are the failure domains; processes are assigned to them round-robin.
var domains = []string{"north", "south", "west"}

func domainOf(i int) string { return domains[i%len(domains)] }

// host is one process of the site and the links to and from it.
type host struct {
	*process
	domain string
	// callerAddress is empty for agents.
	callerAddress, operatorAddress string
	// store is the link to the store. inbound is the link from entry processes.
	// endpoint is an agent's link to its endpoint, nil for entry hosts.
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
	keys      []apiKey
	// changes are the accepted configuration changes.
	changes []audit.ConfigChange
	// mu guards orderedEngines and closed.
	mu sync.Mutex
	// orderedEngines are the engines that the provider started.
	orderedEngines []*engine.Engine
	// closed is set when the test ends; no endpoint is started after that.
	closed bool
	// workspaces are the declared workspaces and their rates.
	workspaces []audit.Workspace
}

// sites is a semaphore that bounds the number of concurrently running sites.
var sites = make(chan struct{}, 4)

// newSite starts the site and waits until all entry hosts serve with its
// configuration. It marks the test as parallel.
func newSite(t *testing.T, spec siteSpec) *site {
	t.Helper()
	t.Parallel()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	s := &site{t: t, dir: t.TempDir()}
	var err error
	if s.authority, err = certs.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	platformOptions := standin.Options{Provider: provider.Options{StartTime: endpointStartTime, Start: s.startOrderedEndpoint}}
	if s.standins, err = standin.Start(platformOptions); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.standins.Close)
	s.declareResources(spec)
	for i := range spec.engines {
		s.addEngine(i)
	}
	for i := range spec.services {
		s.addService(i)
	}
	for i := range spec.entries {
		s.addEntry(i)
	}
	t.Cleanup(s.close)
	s.configure()
	return s
}

func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

func (s *site) addEntry(i int) {
	s.t.Helper()
	h := &host{domain: domainOf(i), callerAddress: freeAddress(s.t), operatorAddress: freeAddress(s.t)}
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
		"listen": map[string]string{"callers": h.callerAddress, "operators": h.operatorAddress, "peers": peers},
		"member": map[string]any{"host_list": "500ms"},
		// Short control intervals, so that control work occurs in a short run.
		"usage":     map[string]any{"window": "2s", "flush": "500ms", "settle": "1s"},
		"role":      map[string]any{"interval": "1s", "hold": "5s"},
		"pool":      map[string]any{"interval": "1s"},
		"operators": operatorSettings(),
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
	// Every second engine checks fencing tokens.
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

// addAgent starts the agent of an endpoint and declares the endpoint.
func (s *site) addAgent(name, domain, endpoint string, spec map[string]any) {
	s.t.Helper()
	h := s.startAgent(name, domain, endpoint, spec)
	s.agents = append(s.agents, h)
	spec["domain"] = domain
	spec["agent"] = h.inbound.address()
	s.addResource("endpoint", name, spec)
}

func (s *site) startAgent(name, domain, endpoint string, spec map[string]any) *host {
	s.t.Helper()
	listen := freeAddress(s.t)
	h := &host{domain: domain, operatorAddress: freeAddress(s.t)}
	h.inbound = newLink(s.t, "agent/"+name, listen)
	h.endpoint = newLink(s.t, "endpoint/"+name, endpoint)
	h.store = newLink(s.t, "store/"+name, s.standins.Store.Address())
	h.process = s.process("agent", name, map[string]any{
		"domain":          domain,
		"listen":          listen,
		"operator_listen": h.operatorAddress,
		"operators":       operatorSettings(),
		"store":           "http://" + h.store.address() + "/clients/" + name,
		"endpoint": map[string]any{
			"type": spec["type"], "url": "http://" + h.endpoint.address(), "checks_fencing": spec["checks_fencing"],
		},
	})
	return h
}

// startOrderedEndpoint starts an engine and its agent for an order to the
// provider. It returns the address of the agent, empty if the site is closed or
// the engine cannot start.
func (s *site) startOrderedEndpoint(order backing.EndpointOrder) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ""
	}
	e := engine.New(engine.Options{Name: order.ID, Models: []string{model}, ChecksFencing: true})
	server, err := standin.Listen("127.0.0.1:0", e.Handler())
	if err != nil {
		s.t.Errorf("start ordered engine: %v", err)
		return ""
	}
	s.t.Cleanup(func() { _ = server.Close() })
	s.orderedEngines = append(s.orderedEngines, e)
	spec := map[string]any{"type": "engine", "checks_fencing": true}
	return s.startAgent(order.ID, order.Domain, server.Address(), spec).inbound.address()
}

// process writes the settings file and certificate of a process and starts it.
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

// operatorSettings returns the operators section of a process's settings.
func operatorSettings() []map[string]string {
	sum := sha256.Sum256([]byte(operatorToken))
	return []map[string]string{{"name": "test", "token_sha256": hex.EncodeToString(sum[:])}}
}

// agent returns the agent of the named endpoint.
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
		urls = append(urls, "http://"+strings.TrimSpace(h.operatorAddress))
	}
	return urls
}
