//go:build linux && long

package fault

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/standin/service"
)

// disorder is one fault that can be caused and mended. cause returns how to
// mend it.
type disorder struct {
	name  string
	cause func(s *site, random *rand.Rand) (mend func())
}

const slowLinkMillis = 40

// disorders are all kinds of faults that a run draws from.
var disorders = []disorder{
	{"kill an entry", func(s *site, r *rand.Rand) func() { return killed(pickHost(s.entries, r)) }},
	{"kill an agent", func(s *site, r *rand.Rand) func() { return killed(pickHost(s.agents, r)) }},
	{"pause an entry", func(s *site, r *rand.Rand) func() { return paused(pickHost(s.entries, r)) }},
	{"pause an agent", func(s *site, r *rand.Rand) func() { return paused(pickHost(s.agents, r)) }},
	{"cut an entry from the store", func(s *site, r *rand.Rand) func() { return cut(pickHost(s.entries, r).store) }},
	{"cut an entry from its peers", func(s *site, r *rand.Rand) func() { return cut(pickHost(s.entries, r).inbound) }},
	{"cut requests to an agent", func(s *site, r *rand.Rand) func() {
		return held(pickHost(s.agents, r).inbound, upstream)
	}},
	{"cut answers of an agent", func(s *site, r *rand.Rand) func() {
		return held(pickHost(s.agents, r).inbound, downstream)
	}},
	{"cut answers of an endpoint", func(s *site, r *rand.Rand) func() {
		return held(pickHost(s.agents, r).endpoint, downstream)
	}},
	{"silent connections to an agent", func(s *site, r *rand.Rand) func() {
		pickHost(s.agents, r).inbound.gate.silence()
		return func() {}
	}},
	{"slow link to an agent", func(s *site, r *rand.Rand) func() {
		l := pickHost(s.agents, r).inbound
		l.slow(slowLinkMillis)
		return l.unslow
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
	{"store loses answers", func(s *site, _ *rand.Rand) func() {
		s.standins.Store.Standin.LoseAnswers(0.3)
		return func() { s.standins.Store.Standin.LoseAnswers(0) }
	}},
	{"engine crash", func(s *site, r *rand.Rand) func() { return engineFault(s, r, engine.Faults{Crashed: true}) }},
	{"engine hang", func(s *site, r *rand.Rand) func() { return engineFault(s, r, engine.Faults{Hung: true}) }},
	{"slow engine", func(s *site, r *rand.Rand) func() { return engineFault(s, r, engine.Faults{SlowFactor: 8}) }},
	{"service loses answers", func(s *site, r *rand.Rand) func() { return serviceFault(s, r, service.FaultCloseAfter) }},
	{"service hangs", func(s *site, r *rand.Rand) func() { return serviceFault(s, r, service.FaultHangAfter) }},
	{"failure domain lost", loseDomain},
}

func pickHost(hosts []*host, r *rand.Rand) *host { return hosts[r.IntN(len(hosts))] }

func killed(h *host) func() {
	h.kill()
	return h.start
}

func paused(h *host) func() {
	h.pause()
	return h.resume
}

func cut(l *link) func() {
	l.cut()
	return l.heal
}

func held(l *link, d direction) func() {
	l.gate.hold(d, true)
	return func() { l.gate.hold(d, false) }
}

func engineFault(s *site, r *rand.Rand, f engine.Faults) func() {
	e := s.standins.Engines[r.IntN(len(s.standins.Engines))].Standin
	e.SetFaults(f)
	return func() { e.SetFaults(engine.Faults{}) }
}

func serviceFault(s *site, r *rand.Rand, kind service.FaultKind) func() {
	v := s.standins.Services[r.IntN(len(s.standins.Services))].Standin
	v.SetFault(service.Fault{Kind: kind})
	return func() { v.SetFault(service.Fault{}) }
}

// hosts are all processes of a failure domain.
func (s *site) hosts(domain string) []*host {
	var list []*host
	for _, h := range append(append([]*host{}, s.entries...), s.agents...) {
		if h.domain == domain {
			list = append(list, h)
		}
	}
	return list
}

// loseDomain kills all processes of a failure domain and crashes its engines.
func loseDomain(s *site, r *rand.Rand) func() {
	domain := domains[r.IntN(len(domains))]
	var mend []func()
	for _, h := range s.hosts(domain) {
		mend = append(mend, killed(h))
	}
	for i, e := range s.standins.Engines {
		if domainOf(i) == domain {
			e.Standin.SetFaults(engine.Faults{Crashed: true})
			mend = append(mend, func() { e.Standin.SetFaults(engine.Faults{}) })
		}
	}
	return func() {
		for _, m := range mend {
			m()
		}
	}
}

// String names the disorder.
func (d disorder) String() string { return fmt.Sprintf("%q", d.name) }
