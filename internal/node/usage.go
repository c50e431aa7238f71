package node

import (
	"context"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/lease"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/usage"
)

// usageShardName returns the name of a usage shard as a shard of control work.
func usageShardName(shard int) string { return "usage/" + strconv.Itoa(shard) }

// buildUsage creates the recorder, the sender and the aggregator of usage figures.
func (e *Entry) buildUsage() {
	s := usage.DefaultSettings()
	s.Window = e.settings.Usage.Window.Std()
	s.FlushInterval = e.settings.Usage.Flush.Std() / 2
	s.SealDelay = e.settings.Usage.SettlingDelay.Std()
	s.Shards = e.settings.Usage.Shards
	s.PageBytes = int(e.settings.Usage.PageBytes)
	ownership := usageOwnership{e.leases, e.leaseDirectory}
	source := e.settings.Name + "/" + e.incarnation
	sink := backing.NewHTTPUsageSink(e.settings.Platform.UsageSink, nil, backing.WithAnswers(e.answers, usageSinkSender))
	e.recorder = usage.NewRecorder(s)
	e.aggregator = usage.NewAggregator(s, e.settings.Name, e.writeTokens, ownership, e.store, sink)
	e.sender = usage.NewSender(s, e.settings.Name, source, e.recorder, ownership, e.directory, e.aggregator)
}

// usageOwnership implements usage.Ownership with leases.
type usageOwnership struct {
	leases         *lease.Set
	leaseDirectory *lease.Directory
}

// Owner implements usage.Ownership.
func (o usageOwnership) Owner(shard int) (string, bool) {
	owner, ok := o.leaseDirectory.Holder(usageShardName(shard))
	return owner.Host, ok
}

// Held implements usage.Ownership.
func (o usageOwnership) Held(shard int) (int64, time.Time, bool) {
	return o.leases.Held(usageShardName(shard))
}

// ExchangeUsage implements usage.Peers.
func (d *directory) ExchangeUsage(ctx context.Context, host string, part *wire.UsagePart) (*wire.UsagePart, error) {
	response, err := d.Exchange(ctx, host, &wire.PeerMessage{From: d.host, Usage: part})
	if err != nil {
		return nil, err
	}
	return response.Usage, nil
}
