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

// OperatorToken is the operators' token of the demo.
const OperatorToken = "demo-operator"

// Site is a running deployment.
type Site struct {
	Deployment *standin.Deployment
	// Entries are the entry hosts as they were first started.
	Entries []*node.Entry
	Agents  []*node.Agent

	running []*runningEntry
	// started is closed once the entry hosts run.
	started chan struct{}
	// domains are the failure domains of endpoints by name.
	domains   map[string]string
	authority *certs.Authority
	log       *slog.Logger
	// base is what all entry hosts' settings start from.
	base settings.Entry
}

// NewSite starts the stand-ins and opens the listeners of one entry host for
// each failure domain and of one agent for each endpoint among the resources.
func NewSite(ctx context.Context, resources []resource.Resource, base settings.Entry, log *slog.Logger) (*Site, error) {
	authority, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	deployment, err := standin.Start(standin.Options{})
	if err != nil {
		return nil, err
	}
	s := &Site{Deployment: deployment, domains: make(map[string]string), started: make(chan struct{}), authority: authority, log: log, base: base}
	if err := s.addAll(ctx, resources); err != nil {
		deployment.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) addAll(ctx context.Context, resources []resource.Resource) error {
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
	o := s.base
	o.Name = "entry-" + domain
	o.Domain = domain
	o.Listen = settings.EntryListen{Callers: s.callerAddress(), Operators: anyPort, Peers: anyPort}
	o.Operators = []settings.Operator{operator()}
	o.Platform = settings.Platform{
		Store:     s.Deployment.Store.URL(),
		HostList:  s.Deployment.HostList.URL(),
		Provider:  s.Deployment.Provider.URL(),
		UsageSink: s.Deployment.UsageSink.URL(),
		Weights:   s.Deployment.Weights.URL(),
	}
	source, err := s.source(certs.RoleEntry, o.Name)
	if err != nil {
		return err
	}
	log := s.log.With("process", o.Name)
	e, err := node.NewEntry(ctx, o, source, log)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, e)
	s.running = append(s.running, &runningEntry{settings: o, source: source, log: log, entry: e})
	s.Deployment.HostList.Standin.Set(backing.Host{Name: o.Name, Domain: domain, State: backing.HostLive, Address: e.PeerAddr()})
	return nil
}

// callerAddress is the fixed address for the first entry host.
func (s *Site) callerAddress() string {
	if len(s.Entries) == 0 && s.base.Listen.Callers != "" {
		return s.base.Listen.Callers
	}
	return anyPort
}

// anyPort takes a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

func operator() settings.Operator {
	sum := sha256.Sum256([]byte(OperatorToken))
	return settings.Operator{Name: "demo", TokenSHA256: hex.EncodeToString(sum[:])}
}

// addEndpoint starts the endpoint's stand-in and agent, and writes the
// agent's address into the resource.
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
	o.Operators = []settings.Operator{operator()}
	o.Endpoint = settings.AgentEndpoint{Type: string(spec.Kind), URL: url, ChecksFencing: spec.ChecksFencing}
	o.Store = s.Deployment.Store.URL()
	source, err := s.source(certs.RoleAgent, r.Name)
	if err != nil {
		return err
	}
	a, err := node.NewAgent(ctx, o, source, s.log.With("process", r.Name))
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	s.domains[r.Name] = spec.Domain
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

func (s *Site) source(role certs.Role, name string) (certs.Source, error) {
	pair, err := s.authority.Issue(role, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, err
	}
	return certs.NewCredentials(s.authority.CertPEM(), pair)
}

// Run serves until ctx ends and all planned stops are complete: entry hosts
// first, then agents, then the stand-ins.
func (s *Site) Run(ctx context.Context) error {
	defer s.Deployment.Close()
	agentCtx, stopAgents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgents()
	var agents errgroup.Group
	for _, a := range s.Agents {
		agents.Go(func() error { return a.Run(agentCtx) })
	}
	for _, e := range s.running {
		e.run(ctx)
	}
	close(s.started)
	var err error
	for _, e := range s.running {
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
