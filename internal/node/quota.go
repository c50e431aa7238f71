package node

import (
	"context"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/quota"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// quotaShardName returns the name of a quota shard as a shard of control work.
func quotaShardName(shard int) string { return "quota/" + strconv.Itoa(shard) }

// buildQuota creates the quota limiter. The base quota is owned through slots, which remain
// valid during a store outage, and the surplus through leases.
func (e *Entry) buildQuota() {
	e.slots = quota.NewSlots(quota.SlotConfig{
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Store:       e.store,
		Hosts:       gossipedHostList{table: e.members, list: e.hostList, started: time.Now()},
		ConfigFresh: e.configUsable,
	})
	settings := quota.DefaultSettings()
	settings.BasePercent = int64(e.settings.Quota.BasePercent)
	e.quota = quota.New(quota.Config{
		Settings:    settings,
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Limits:      e.workspaceLimit,
		Base:        e.slots,
		Surplus:     leasedQuota{e.leases, e.leaseDirectory},
		Peers:       e.directory,
	})
}

// configUsable reports whether this host's configuration is recent enough to act on.
func (e *Entry) configUsable() bool {
	_, err := e.config.FreshView()
	return err == nil
}

// workspaceLimit returns the rate and burst of a workspace in the current configuration. It
// returns false if the workspace does not exist.
func (e *Entry) workspaceLimit(workspace string) (quota.Limit, bool) {
	spec, ok := e.config.Current().Workspace(workspace)
	return quota.Limit{Rate: spec.RateTokens, Burst: spec.BurstTokens}, ok
}

// runQuota runs the quota limiter until ctx ends.
func (e *Entry) runQuota(ctx context.Context) { _ = e.quota.Run(ctx) }

// runSlots runs the ownership of quota slots until ctx ends.
func (e *Entry) runSlots(ctx context.Context) { _ = e.slots.Run(ctx) }

// leasedQuota is the ownership of the surplus quota, which is assigned by leases.
type leasedQuota struct {
	leases         *lease.Set
	leaseDirectory *lease.Directory
}

// Owner implements quota.Ownership.
func (q leasedQuota) Owner(shard int) (string, int64, bool) {
	owner, ok := q.leaseDirectory.Holder(quotaShardName(shard))
	return owner.Host, owner.Fence, ok
}

// Owned implements quota.Ownership.
func (q leasedQuota) Owned(shard int) (quota.Tenure, bool) {
	fence, _, ok := q.leases.Held(quotaShardName(shard))
	return quota.Tenure{Fence: fence}, ok
}

// ExchangeQuota implements quota.Peers.
func (d *directory) ExchangeQuota(ctx context.Context, host string, part *wire.QuotaPart) (*wire.QuotaPart, error) {
	response, err := d.Exchange(ctx, host, &wire.PeerMessage{From: d.host, Quota: part})
	if err != nil {
		return nil, err
	}
	return response.Quota, nil
}

// quotaAdapter implements entry.Quota with the quota limiter.
type quotaAdapter struct{ limiter *quota.Limiter }

// Reserve implements entry.Quota.
func (q quotaAdapter) Reserve(ctx context.Context, workspace string, spec resource.WorkspaceSpec, tokens int64) (entry.Reservation, error) {
	return q.limiter.Reserve(ctx, workspace, spec.RateTokens, spec.BurstTokens, tokens)
}
