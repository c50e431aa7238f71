package node

import (
	"context"

	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/quota"
	"github.com/acacialink/acacialink/internal/resource"
)

// buildQuota makes the limiter. Until shards have owners by lease, a host
// limits only what it serves itself.
func (e *Entry) buildQuota() {
	e.quota = quota.New(quota.Config{
		Settings:    quota.DefaultSettings(),
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Limits:      e.limits,
		Base:        quota.Sole{Host: e.settings.Name},
		Surplus:     quota.Sole{Host: e.settings.Name},
	})
}

// limits are the rate and burst in force of a workspace.
func (e *Entry) limits(workspace string) (quota.Limit, bool) {
	spec, ok := e.config.Current().Workspace(workspace)
	return quota.Limit{Rate: spec.RateTokens, Burst: spec.BurstTokens}, ok
}

func (e *Entry) runQuota(ctx context.Context) { _ = e.quota.Run(ctx) }

// quotaGate is the limiter as the callers' server uses it.
type quotaGate struct{ limiter *quota.Limiter }

// Reserve implements entry.Quota.
func (q quotaGate) Reserve(ctx context.Context, workspace string, spec resource.WorkspaceSpec, tokens int64) (entry.Reservation, error) {
	return q.limiter.Reserve(ctx, workspace, spec.RateTokens, spec.BurstTokens, tokens)
}

// noUsage drops usage figures.
type noUsage struct{}

// Add implements entry.Usage.
func (noUsage) Add(string, string, int64, int64, int64, int64) {}
