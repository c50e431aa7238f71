package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/certs"
	"github.com/acacialink/acacialink/internal/fleet"
	"github.com/acacialink/acacialink/internal/member"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// buildMembership makes the table of entry hosts and endpoints. The listeners
// are open: the table spreads this host's address.
func (e *Entry) buildMembership(source certs.Source) {
	s := e.settings
	e.hostList = backing.NewHTTPHostList(s.Platform.HostList, nil)
	config := member.Config{
		Name:        s.Name,
		Domain:      s.Domain,
		Address:     e.PeerAddr(),
		Incarnation: e.incarnation,
		Seeds:       s.Peers,
		Period:      s.Member.Exchange.Std(),
		Fanout:      s.Member.Fanout,
		Suspect:     s.Member.Suspect.Std(),
		HostList:    s.Member.HostList.Std(),
		Watchers:    s.Member.Watchers,
		Seed:        rand.Uint64(),
	}
	e.members = member.NewTable(config, time.Now())
	dialer := rpc.NewDialer(certs.ClientTLS(source, certs.RoleEntry, ""), entryRPC(s))
	pool := rpc.NewPool(dialer, idlePeerConnections)
	e.exchanger = member.NewExchanger(e.members, config, pool, e.hostList, s.Timeouts.Dial.Std(), e.log)
	e.directory = &directory{host: s.Name, table: e.members, pool: pool}
}

// noteState takes an agent's own word, or the end of its session when state is
// nil, and makes followCapacity look at once when that changes what the
// endpoint may take.
func (e *Entry) noteState(endpoint string, state *wire.AgentState) {
	usable := false
	if state == nil {
		e.members.Lost(endpoint, time.Now())
	} else {
		e.members.Observe(endpoint, state, time.Now())
		usable = state.Ready && !state.Draining
	}
	before, known := e.usable.Swap(endpoint, usable)
	if known && before == usable {
		return
	}
	select {
	case e.capacityDue <- struct{}{}:
	default:
	}
}

// leaving says whether the host list or a peer knows that an endpoint is on
// its way out, which its agent may not know yet.
func (e *Entry) leaving(endpoint string) bool {
	known, ok := e.members.Endpoint(endpoint, time.Now())
	return ok && known.State == member.Leaving
}

// watchInterval is how often the sessions follow the watches that membership
// gives this host.
const watchInterval = 2 * time.Second

// followConfig keeps the sessions to agents in line with the configuration and
// with the endpoints that this host has to watch.
func (e *Entry) followConfig(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		changed := e.config.Changed()
		e.reconcile(ctx, e.config.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (e *Entry) reconcile(ctx context.Context, view *snapshot.View) {
	all := view.Endpoints()
	endpoints := make([]fleet.Endpoint, 0, len(all))
	refs := make([]member.EndpointRef, 0, len(all))
	for _, one := range all {
		endpoints = append(endpoints, fleet.Endpoint{Name: one.Name, Spec: one.Spec})
		refs = append(refs, member.EndpointRef{Name: one.Name, Domain: one.Spec.Domain, Agent: one.Spec.Agent})
	}
	if e.endpointsAt != view.Revision() {
		e.members.SetEndpoints(refs)
		e.endpointsAt = view.Revision()
	}
	e.fleet.Reconcile(ctx, endpoints, e.members.Watches())
	spec, _ := view.Domain(e.settings.Domain)
	for to, us := range spec.Distance {
		e.router.SetDistance(e.settings.Domain, to, time.Duration(us)*time.Microsecond)
	}
}
