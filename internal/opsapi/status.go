package opsapi

import (
	"context"
	"strings"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// withStatus returns r with its status and conditions set.
func (s *server) withStatus(ctx context.Context, r resource.Resource) resource.Resource {
	spread := s.options.Configuration.Propagation(ctx, r.Revision)
	status := &resource.Status{ObservedGeneration: r.Generation, Conditions: []resource.Condition{inForceCondition(spread)}}
	if s.options.Conditions != nil {
		status.Conditions = append(status.Conditions, s.options.Conditions(r)...)
	}
	r.Status = status
	return r
}

// inForceCondition returns the condition that reports whether every live entry
// host uses the current revision of the resource.
func inForceCondition(spread snapshot.Propagation) resource.Condition {
	c := resource.Condition{Type: resource.ConditionInForce, Status: spread.InForce, Since: spread.AcceptedAt}
	switch {
	case spread.InForce:
		c.Reason = "Confirmed"
	case !spread.Accepted:
		c.Reason = "NotAccepted"
		c.Message = "waiting until a majority of the voters holds it; not confirmed by " + strings.Join(spread.PendingHosts, ", ")
	case len(spread.PendingHosts) > 0:
		c.Reason = "HostsWaiting"
		c.Message = "waiting for " + strings.Join(spread.PendingHosts, ", ")
	default:
		c.Reason = "Spreading"
		c.Message = "waiting until every host holds it or has lost its freshness"
	}
	return c
}
