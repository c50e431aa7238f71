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

// buildMembership creates the membership table of entry hosts and endpoints. The listeners
// must be open, because the table publishes this host's address.
func (e *Entry) buildMembership(source certs.Source) {
	s := e.settings
	e.hostList = backing.NewHTTPHostList(s.Platform.HostList, nil, backing.WithAnswers(e.answers, hostListSender))
	config := member.Config{
		Name:             s.Name,
		Domain:           s.Domain,
		Address:          e.PeerAddr(),
		Incarnation:      e.incarnation,
		Seeds:            s.Peers,
		Period:           s.Membership.Exchange.Std(),
		Fanout:           s.Membership.Fanout,
		SuspectTimeout:   s.Membership.Suspect.Std(),
		HostListInterval: s.Membership.HostList.Std(),
		Watchers:         s.Membership.Watchers,
		Seed:             rand.Uint64(),
	}
	e.members = member.NewTable(config, time.Now())
	dialer := rpc.NewDialer(certs.ClientTLS(source, certs.RoleEntry, ""), entryRPCOptions(s))
	pool := rpc.NewPool(dialer, maxIdlePeerConnections)
	e.exchanger = member.NewExchanger(e.members, config, pool, e.hostList, s.Timeouts.Dial.Std(), e.log)
	e.directory = &directory{host: s.Name, table: e.members, pool: pool}
}

// recordAgentState records a state received from an agent, or the end of its session if
// state is nil. It triggers a capacity update if the endpoint has become usable or
// unusable.
func (e *Entry) recordAgentState(endpoint string, state *wire.AgentState) {
	usable := false
	if state == nil {
		e.members.SessionLost(endpoint, time.Now())
	} else {
		e.members.AgentStateReceived(endpoint, state, time.Now())
		usable = state.Ready && !state.Draining
	}
	before, known := e.usableEndpoints.Swap(endpoint, usable)
	if known && before == usable {
		return
	}
	select {
	case e.capacityChanged <- struct{}{}:
	default:
	}
}

// endpointLeaving reports whether an endpoint is leaving according to the host list or a
// peer. Its agent may not report this yet.
func (e *Entry) endpointLeaving(endpoint string) bool {
	record, ok := e.members.Endpoint(endpoint, time.Now())
	return ok && record.State == member.Leaving
}

// reconcileInterval is the interval at which the sessions to agents are reconciled with
// the watches that membership assigns to this host.
const reconcileInterval = 2 * time.Second

// runReconcile reconciles the sessions to agents with the configuration and with the
// endpoints that this host watches. It runs until ctx ends.
func (e *Entry) runReconcile(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
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

// reconcile applies a configuration to the membership table, the sessions to agents and
// the router's domain distances.
func (e *Entry) reconcile(ctx context.Context, view *snapshot.View) {
	configured := view.Endpoints()
	endpoints := make([]fleet.Endpoint, 0, len(configured))
	refs := make([]member.EndpointRef, 0, len(configured))
	for _, endpoint := range configured {
		endpoints = append(endpoints, fleet.Endpoint{Name: endpoint.Name, Spec: endpoint.Spec})
		refs = append(refs, member.EndpointRef{Name: endpoint.Name, Domain: endpoint.Spec.Domain, Agent: endpoint.Spec.Agent})
	}
	if e.endpointsRevision != view.Revision() {
		e.members.SetEndpoints(refs)
		e.endpointsRevision = view.Revision()
	}
	e.fleet.Reconcile(ctx, endpoints, e.members.Watches())
	spec, _ := view.Domain(e.settings.Domain)
	for domain, microseconds := range spec.Distance {
		e.router.SetDistance(e.settings.Domain, domain, time.Duration(microseconds)*time.Microsecond)
	}
}
