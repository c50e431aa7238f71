package member

import "github.com/acacialink/acacialink/internal/rpc/wire"

// appendTo appends the record to a message.
func (r *record) appendTo(p *wire.MemberPart) {
	switch r.kind {
	case kindMember:
		p.Members = append(p.Members, &wire.MemberState{
			Name: r.name, Incarnation: r.incarnation, Domain: r.domain, Address: r.address,
			State: uint32(r.state), Version: r.version,
		})
	case kindHost:
		p.Hosts = append(p.Hosts, &wire.HostState{Name: r.name, State: uint32(r.state), Version: r.version})
	default:
		p.Endpoints = append(p.Endpoints, r.endpointState())
	}
}

// endpointState returns an endpoint's record in wire format. A suspect or gone
// endpoint is sent without its agent's last state: the receiver either has that
// state or has no use for it.
func (r *record) endpointState() *wire.EndpointState {
	e := &wire.EndpointState{Name: r.name, State: uint32(r.state), Version: r.version}
	if r.state.suspectOrGone() {
		return e
	}
	e.Incarnation = r.incarnation
	e.Agent = &wire.AgentState{
		Ready: r.info.Ready, Role: r.info.Role,
		Models: r.info.Models, Adapters: r.info.Adapters,
	}
	return e
}

// recordsOf returns up to maxListLength records of a message. Records with an
// unknown state are skipped.
func recordsOf(p *wire.MemberPart) []*record {
	list := make([]*record, 0, len(p.GetMembers())+len(p.GetEndpoints())+len(p.GetHosts()))
	add := func(k kind, state uint32, r record) {
		if !validState(state) || len(list) >= maxListLength {
			return
		}
		r.id, r.kind, r.state = recordID(k, r.name), k, State(state)
		list = append(list, &r)
	}
	for _, m := range p.GetMembers() {
		add(kindMember, m.GetState(), record{
			name: m.GetName(), incarnation: m.GetIncarnation(), version: m.GetVersion(),
			domain: m.GetDomain(), address: m.GetAddress(),
		})
	}
	for _, e := range p.GetEndpoints() {
		add(kindEndpoint, e.GetState(), record{
			name: e.GetName(), incarnation: e.GetIncarnation(), version: e.GetVersion(),
			info: agentInfo(e.GetAgent()),
		})
	}
	for _, h := range p.GetHosts() {
		add(kindHost, h.GetState(), record{name: h.GetName(), version: h.GetVersion()})
	}
	return list
}

// agentInfo returns the part of an agent's state that is gossiped.
func agentInfo(a *wire.AgentState) AgentInfo {
	return AgentInfo{
		Ready: a.GetReady(), Role: a.GetRole(),
		Models: a.GetModels(), Adapters: a.GetAdapters(),
	}
}
