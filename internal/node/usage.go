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

func usagePiece(shard int) string { return "usage/" + strconv.Itoa(shard) }

// buildUsage makes the recorder, the sender and the keepers of usage figures.
func (e *Entry) buildUsage() {
	s := usage.DefaultSettings()
	s.Window = e.settings.Usage.Window.Std()
	s.Flush = e.settings.Usage.Flush.Std() / 2
	s.Settle = e.settings.Usage.Settle.Std()
	s.Shards = e.settings.Usage.Shards
	s.PageBytes = int(e.settings.Usage.PageBytes)
	owners := usageOwners{e.leases, e.holders}
	source := e.settings.Name + "/" + e.incarnation
	sink := backing.NewHTTPUsageSink(e.settings.Platform.UsageSink, nil)
	e.recorder = usage.NewRecorder(s)
	e.keepers = usage.NewKeepers(s, e.settings.Name, e.marks, owners, e.store, sink)
	e.sender = usage.NewSender(s, e.settings.Name, source, e.recorder, owners, e.directory, e.keepers)
}

// usageOwners is the ownership of usage shards.
type usageOwners struct {
	leases  *lease.Set
	holders *lease.Directory
}

// Owner implements usage.Ownership.
func (o usageOwners) Owner(shard int) (string, bool) {
	h, ok := o.holders.Holder(usagePiece(shard))
	return h.Host, ok
}

// Held implements usage.Ownership.
func (o usageOwners) Held(shard int) (int64, time.Time, bool) {
	return o.leases.Held(usagePiece(shard))
}

// ExchangeUsage implements usage.Peers.
func (d *directory) ExchangeUsage(ctx context.Context, host string, part *wire.UsagePart) (*wire.UsagePart, error) {
	answer, err := d.Exchange(ctx, host, &wire.PeerMessage{From: d.host, Usage: part})
	if err != nil {
		return nil, err
	}
	return answer.Usage, nil
}
