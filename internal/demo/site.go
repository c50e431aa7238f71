package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/node"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/settings"
	"github.com/acacialink/acacialink/internal/standin"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/service"
)

// OperatorToken is the operator token accepted by all processes of the demo.
const OperatorToken = "demo-operator"

// Site is a deployment that runs in one process.
type Site struct {
	Deployment *standin.Deployment
	// Entries are the original instances of the entry hosts. Instances started
	// by a restart are not included.
	Entries []*node.Entry
	Agents  []*node.Agent

	entryProcesses []*entryProcess
	// started is closed once the entry hosts have been started.
	started chan struct{}
	// endpointDomains maps endpoint names to failure domains.
	endpointDomains map[string]string
	authority       *certs.Authority
	log             *slog.Logger
	// baseSettings are the settings that all entry hosts have in common.
	baseSettings settings.Entry
}

// NewSite starts the stand-ins and opens the listeners of one entry host for each
// failure domain and of one agent for each endpoint among the resources. It writes
// the agents' addresses into the endpoint resources.
func NewSite(ctx context.Context, resources []resource.Resource, base settings.Entry, log *slog.Logger) (*Site, error) {
	authority, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	deployment, err := standin.Start(standin.Options{})
	if err != nil {
		return nil, err
	}
	s := &Site{Deployment: deployment, endpointDomains: make(map[string]string), started: make(chan struct{}), authority: authority, log: log, baseSettings: base}
	if err := s.addResources(ctx, resources); err != nil {
		deployment.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) addResources(ctx context.Context, resources []resource.Resource) error {
	for i := range resources {
		r := &resources[i]
		var err error
		switch r.Kind {
		case resource.KindDomain:
			err = s.addEntry(ctx, r.Name)
		case resource.KindEndpoint:
			err = s.addEndpoint(ctx, r)
		default:
		}
		if err != nil {
			return errors.Wrapf(err, "%s %s", r.Kind, r.Name)
		}
	}
	return nil
}

func (s *Site) addEntry(ctx context.Context, domain string) error {
	o := s.baseSettings
	o.Name = "entry-" + domain
	o.Domain = domain
	o.Listen = settings.EntryListen{Callers: s.callersListenAddress(), Operators: anyPort, Peers: anyPort}
	o.Operators = []settings.Operator{demoOperator()}
	o.Platform = settings.Platform{
		Store:     s.Deployment.Store.URL(),
		HostList:  s.Deployment.HostList.URL(),
		Provider:  s.Deployment.Provider.URL(),
		UsageSink: s.Deployment.UsageSink.URL(),
		Weights:   s.Deployment.Weights.URL(),
	}
	source, err := s.certSource(certs.RoleEntry, o.Name)
	if err != nil {
		return err
	}
	log := s.log.With("process", o.Name)
	e, err := node.NewEntry(ctx, o, source, log)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, e)
	s.entryProcesses = append(s.entryProcesses, &entryProcess{settings: o, certSource: source, log: log, entry: e})
	s.Deployment.HostList.Standin.Set(backing.Host{Name: o.Name, Domain: domain, State: backing.HostLive, Address: e.PeerAddr()})
	return nil
}

// callersListenAddress returns the caller listen address of the next entry host:
// the configured one for the first, a free port for all others.
func (s *Site) callersListenAddress() string {
	if len(s.Entries) == 0 && s.baseSettings.Listen.Callers != "" {
		return s.baseSettings.Listen.Callers
	}
	return anyPort
}

// anyPort selects a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

func demoOperator() settings.Operator {
	sum := sha256.Sum256([]byte(OperatorToken))
	return settings.Operator{Name: "demo", TokenSHA256: hex.EncodeToString(sum[:])}
}

// addEndpoint starts the stand-in of an endpoint, opens the listeners of its agent
// and writes the agent's address into the resource.
func (s *Site) addEndpoint(ctx context.Context, r *resource.Resource) error {
	var spec resource.EndpointSpec
	if err := json.Unmarshal(r.Spec, &spec); err != nil {
		return errors.Wrap(err, "endpoint spec")
	}
	url, err := s.startStandin(r.Name, spec)
	if err != nil {
		return err
	}
	o := settings.DefaultAgent()
	o.Name = r.Name
	o.Domain = spec.Domain
	o.Listen = anyPort
	o.OperatorListen = anyPort
	o.Operators = []settings.Operator{demoOperator()}
	o.Endpoint = settings.AgentEndpoint{Type: string(spec.Kind), URL: url, ChecksFencing: spec.ChecksFencing}
	o.Store = s.Deployment.Store.URL()
	source, err := s.certSource(certs.RoleAgent, r.Name)
	if err != nil {
		return err
	}
	a, err := node.NewAgent(ctx, o, source, s.log.With("process", r.Name))
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	s.endpointDomains[r.Name] = spec.Domain
	spec.Agent = a.Addr()
	r.Spec, err = json.Marshal(spec)
	return errors.Wrap(err, "endpoint spec")
}

func (s *Site) startStandin(name string, spec resource.EndpointSpec) (string, error) {
	if spec.Kind == resource.EndpointService {
		i, err := s.Deployment.AddService(service.Options{Name: name})
		if err != nil {
			return "", err
		}
		return i.URL(), nil
	}
	i, err := s.Deployment.AddEngine(engine.Options{Name: name, Models: spec.Models, ChecksFencing: spec.ChecksFencing})
	if err != nil {
		return "", err
	}
	return i.URL(), nil
}

func (s *Site) certSource(role certs.Role, name string) (certs.Source, error) {
	pair, err := s.authority.Issue(role, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, err
	}
	return certs.NewCredentials(s.authority.CertPEM(), pair)
}

// Run runs the site until ctx ends and all planned stops are complete. Entry hosts
// stop first, then agents, then the stand-ins. It returns the first error.
func (s *Site) Run(ctx context.Context) error {
	defer s.Deployment.Close()
	agentCtx, stopAgents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgents()
	var agents errgroup.Group
	for _, a := range s.Agents {
		agents.Go(func() error { return a.Run(agentCtx) })
	}
	for _, e := range s.entryProcesses {
		e.start(ctx)
	}
	close(s.started)
	var err error
	for _, e := range s.entryProcesses {
		if stopped := e.wait(); err == nil {
			err = stopped
		}
	}
	stopAgents()
	if agentErr := agents.Wait(); err == nil {
		err = agentErr
	}
	return err
}
