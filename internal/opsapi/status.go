package opsapi

import (
	"context"
	"strings"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// withStatus returns r with its status and conditions set.
func (s *server) withStatus(ctx context.Context, r resource.Resource) resource.Resource {
	propagation := s.options.Configuration.Propagation(ctx, r.Revision)
	status := &resource.Status{ObservedGeneration: r.Generation, Conditions: []resource.Condition{inForceCondition(propagation)}}
	if s.options.Conditions != nil {
		status.Conditions = append(status.Conditions, s.options.Conditions(r)...)
	}
	r.Status = status
	return r
}

// inForceCondition returns the condition that reports whether every live entry
// host uses the current revision of the resource.
func inForceCondition(propagation snapshot.Propagation) resource.Condition {
	c := resource.Condition{Type: resource.ConditionInForce, Status: propagation.InForce, Since: propagation.AcceptedAt}
	switch {
	case propagation.InForce:
		c.Reason = "Confirmed"
	case !propagation.Accepted:
		c.Reason = "NotAccepted"
		c.Message = "waiting until a majority of the voters holds it; not confirmed by " + strings.Join(propagation.PendingHosts, ", ")
	case len(propagation.PendingHosts) > 0:
		c.Reason = "HostsWaiting"
		c.Message = "waiting for " + strings.Join(propagation.PendingHosts, ", ")
	default:
		c.Reason = "Spreading"
		c.Message = "waiting until every host holds it or has lost its freshness"
	}
	return c
}
