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

func quotaPiece(shard int) string { return "quota/" + strconv.Itoa(shard) }

// buildQuota makes the limiter: the base parts are owned by slots, which hold
// through an outage of the store, and the rest by leases.
func (e *Entry) buildQuota() {
	e.slots = quota.NewSlots(quota.SlotConfig{
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Store:       e.store,
		Hosts:       listedHosts{table: e.members, list: e.hostList, started: time.Now()},
		Fresh:       e.fresh,
	})
	settings := quota.DefaultSettings()
	settings.BasePercent = int64(e.settings.Quota.BasePercent)
	e.quota = quota.New(quota.Config{
		Settings:    settings,
		Host:        e.settings.Name,
		Incarnation: e.incarnation,
		Limits:      e.limits,
		Base:        e.slots,
		Surplus:     surplus{e.leases, e.holders},
		Peers:       e.directory,
	})
}

// fresh says whether this host may act on its configuration.
func (e *Entry) fresh() bool {
	_, err := e.config.Use()
	return err == nil
}

// limits are the rate and burst in force of a workspace.
func (e *Entry) limits(workspace string) (quota.Limit, bool) {
	spec, ok := e.config.Current().Workspace(workspace)
	return quota.Limit{Rate: spec.RateTokens, Burst: spec.BurstTokens}, ok
}

func (e *Entry) runQuota(ctx context.Context) { _ = e.quota.Run(ctx) }

func (e *Entry) runSlots(ctx context.Context) { _ = e.slots.Run(ctx) }

// surplus is the ownership of the parts that go by lease.
type surplus struct {
	leases  *lease.Set
	holders *lease.Directory
}

// Owner implements quota.Ownership.
func (s surplus) Owner(shard int) (string, int64, bool) {
	h, ok := s.holders.Holder(quotaPiece(shard))
	return h.Host, h.Fence, ok
}

// Owned implements quota.Ownership.
func (s surplus) Owned(shard int) (quota.Tenure, bool) {
	fence, _, ok := s.leases.Held(quotaPiece(shard))
	return quota.Tenure{Fence: fence}, ok
}

// ExchangeQuota implements quota.Peers.
func (d *directory) ExchangeQuota(ctx context.Context, host string, part *wire.QuotaPart) (*wire.QuotaPart, error) {
	answer, err := d.Exchange(ctx, host, &wire.PeerMessage{From: d.host, Quota: part})
	if err != nil {
		return nil, err
	}
	return answer.Quota, nil
}

// quotaGate is the limiter as the callers' server uses it.
type quotaGate struct{ limiter *quota.Limiter }

// Reserve implements entry.Quota.
func (q quotaGate) Reserve(ctx context.Context, workspace string, spec resource.WorkspaceSpec, tokens int64) (entry.Reservation, error) {
	return q.limiter.Reserve(ctx, workspace, spec.RateTokens, spec.BurstTokens, tokens)
}
