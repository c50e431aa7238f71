//go:build linux && long

package fault

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/service"
)

// faultInjection is one kind of fault. inject causes it and returns a function
// that reverts it.
type faultInjection struct {
	name   string
	inject func(s *site, rng *rand.Rand) (revert func())
}

const linkDelayMillis = 40

// faultInjections lists all kinds of faults that a run selects from.
var faultInjections = []faultInjection{
	{"kill an entry", func(s *site, rng *rand.Rand) func() { return killHost(pickHost(s.entries, rng)) }},
	{"kill an agent", func(s *site, rng *rand.Rand) func() { return killHost(pickHost(s.agents, rng)) }},
	{"pause an entry", func(s *site, rng *rand.Rand) func() { return pauseHost(pickHost(s.entries, rng)) }},
	{"pause an agent", func(s *site, rng *rand.Rand) func() { return pauseHost(pickHost(s.agents, rng)) }},
	{"cut an entry from the store", func(s *site, rng *rand.Rand) func() { return cutLink(pickHost(s.entries, rng).store) }},
	{"cut an entry from its peers", func(s *site, rng *rand.Rand) func() { return cutLink(pickHost(s.entries, rng).inbound) }},
	{"cut requests to an agent", func(s *site, rng *rand.Rand) func() {
		return blockLink(pickHost(s.agents, rng).inbound, upstream)
	}},
	{"cut responses from an agent", func(s *site, rng *rand.Rand) func() {
		return blockLink(pickHost(s.agents, rng).inbound, downstream)
	}},
	{"cut responses from an endpoint", func(s *site, rng *rand.Rand) func() {
		return blockLink(pickHost(s.agents, rng).endpoint, downstream)
	}},
	{"silent connections to an agent", func(s *site, rng *rand.Rand) func() {
		pickHost(s.agents, rng).inbound.gate.silenceConnections()
		return func() {}
	}},
	{"slow link to an agent", func(s *site, rng *rand.Rand) func() {
		l := pickHost(s.agents, rng).inbound
		l.addLatency(linkDelayMillis)
		return l.removeLatency
	}},
	{"store down", func(s *site, _ *rand.Rand) func() {
		s.standins.Store.Standin.SetDown(true)
		return func() { s.standins.Store.Standin.SetDown(false) }
	}},
	{"store silent", func(s *site, _ *rand.Rand) func() {
		s.standins.Store.Standin.SetSilent(true)
		return func() { s.standins.Store.Standin.SetSilent(false) }
	}},
	{"store slow", func(s *site, _ *rand.Rand) func() {
		s.standins.Store.Standin.SetDelay(300 * time.Millisecond)
		return func() { s.standins.Store.Standin.SetDelay(0) }
	}},
	{"store loses responses", func(s *site, _ *rand.Rand) func() {
		s.standins.Store.Standin.LoseAnswers(0.3)
		return func() { s.standins.Store.Standin.LoseAnswers(0) }
	}},
	{"engine crash", func(s *site, rng *rand.Rand) func() { return injectEngineFault(s, rng, engine.Faults{Crashed: true}) }},
	{"engine hang", func(s *site, rng *rand.Rand) func() { return injectEngineFault(s, rng, engine.Faults{Hung: true}) }},
	{"slow engine", func(s *site, rng *rand.Rand) func() { return injectEngineFault(s, rng, engine.Faults{SlowFactor: 8}) }},
	{"service loses responses", func(s *site, rng *rand.Rand) func() { return injectServiceFault(s, rng, service.FaultCloseAfter) }},
	{"service hangs", func(s *site, rng *rand.Rand) func() { return injectServiceFault(s, rng, service.FaultHangAfter) }},
	{"failure domain lost", loseDomain},
}

func pickHost(hosts []*host, rng *rand.Rand) *host { return hosts[rng.IntN(len(hosts))] }

func killHost(h *host) func() {
	h.kill()
	return h.start
}

func pauseHost(h *host) func() {
	h.pause()
	return h.resume
}

func cutLink(l *link) func() {
	l.cut()
	return l.heal
}

func blockLink(l *link, d direction) func() {
	l.gate.setBlocked(d, true)
	return func() { l.gate.setBlocked(d, false) }
}

func injectEngineFault(s *site, rng *rand.Rand, f engine.Faults) func() {
	standin := s.standins.Engines[rng.IntN(len(s.standins.Engines))].Standin
	standin.SetFaults(f)
	return func() { standin.SetFaults(engine.Faults{}) }
}

func injectServiceFault(s *site, rng *rand.Rand, kind service.FaultKind) func() {
	standin := s.standins.Services[rng.IntN(len(s.standins.Services))].Standin
	standin.SetFault(service.Fault{Kind: kind})
	return func() { standin.SetFault(service.Fault{}) }
}

// hostsInDomain returns all processes of a failure domain.
func (s *site) hostsInDomain(domain string) []*host {
	var hosts []*host
	for _, h := range append(append([]*host{}, s.entries...), s.agents...) {
		if h.domain == domain {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// loseDomain kills all processes of a failure domain and crashes its engines.
func loseDomain(s *site, rng *rand.Rand) func() {
	domain := domains[rng.IntN(len(domains))]
	var reverts []func()
	for _, h := range s.hostsInDomain(domain) {
		reverts = append(reverts, killHost(h))
	}
	for i, e := range s.standins.Engines {
		if domainOf(i) == domain {
			e.Standin.SetFaults(engine.Faults{Crashed: true})
			reverts = append(reverts, func() { e.Standin.SetFaults(engine.Faults{}) })
		}
	}
	return func() {
		for _, revert := range reverts {
			revert()
		}
	}
}

// String returns the quoted name of the fault.
func (f faultInjection) String() string { return fmt.Sprintf("%q", f.name) }
