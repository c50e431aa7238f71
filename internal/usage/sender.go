package usage

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Sender hands a host's figures to the keepers of their shards. One goroutine
// at a time uses it.
type Sender struct {
	settings Settings
	host     string
	source   string
	recorder *Recorder
	owners   Ownership
	peers    Peers
	keepers  *Keepers
	shards   []outgoing
}

// outgoing is what a host holds for one shard.
type outgoing struct {
	sequence int64
	// acknowledged is the last batch that the keeper had in the store.
	acknowledged int64
	// fence is the highest fencing number of a keeper that answered.
	fence int64
	// unacknowledged is on its way until the keeper has it in the store.
	unacknowledged *wire.UsageBatch
	begun          time.Time
	next           map[windowLine]Figures
}

// NewSender returns a sender; source names the host with its incarnation, and
// keepers are the host's own.
func NewSender(s Settings, host, source string, r *Recorder, owners Ownership, peers Peers, keepers *Keepers) *Sender {
	sender := &Sender{settings: s, host: host, source: source, recorder: r, owners: owners, peers: peers, keepers: keepers}
	sender.shards = make([]outgoing, s.Shards)
	for i := range sender.shards {
		sender.shards[i].next = make(map[windowLine]Figures)
	}
	return sender
}

// Run hands out figures until ctx ends, and then once more.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(s.settings.Flush)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.Flush(ctx)
	}
}

// Drain hands out everything and returns true once all of it is in the store,
// or false when ctx ends first. The recorder must have no users any more.
func (s *Sender) Drain(ctx context.Context) bool {
	for !s.Flush(ctx) {
		timer := time.NewTimer(s.settings.Write)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
}

// Flush hands out what was counted and says whether nothing is left.
func (s *Sender) Flush(ctx context.Context) bool {
	s.collect()
	empty := true
	for i := range s.shards {
		o := &s.shards[i]
		s.send(ctx, i, o)
		if o.unacknowledged == nil && len(o.next) > 0 {
			s.send(ctx, i, o)
		}
		empty = empty && o.unacknowledged == nil && len(o.next) == 0
	}
	return empty
}

// collect moves what was counted to the shards.
func (s *Sender) collect() {
	for key, f := range s.recorder.take() {
		o := &s.shards[shardOf(key.Workspace, s.settings.Shards)]
		old, known := o.next[key]
		if !known && len(o.next) >= s.settings.Lines {
			s.recorder.dropped.Add(1)
			continue
		}
		o.next[key] = old.Plus(f)
	}
}

// repeatLimit is how long the first batch of a source is repeated: less than
// keepers remember a source. Later ones are repeated without a limit, for a
// keeper that has forgotten the source shows so.
const repeatLimit = 5 * time.Hour

// send sends the batch on its way, or the next one.
func (s *Sender) send(ctx context.Context, shard int, o *outgoing) {
	if o.unacknowledged != nil && o.sequence == 1 && time.Since(o.begun) > repeatLimit {
		s.giveUp(o)
	}
	if o.unacknowledged == nil {
		o.begin(shard, s.source)
	}
	if o.unacknowledged == nil {
		return
	}
	owner, ok := s.owners.Owner(shard)
	if !ok {
		return
	}
	part := &wire.UsagePart{Batches: []*wire.UsageBatch{o.unacknowledged}}
	answer := s.exchange(ctx, owner, part)
	for _, ack := range answer.GetAcks() {
		if ack.Known && int(ack.Shard) == shard {
			s.acknowledge(o, ack)
			return
		}
	}
}

// acknowledge notes the last batch that the keeper has in the store. A keeper
// that knows less than an earlier one did has forgotten the source; one that
// was replaced since proves nothing.
func (s *Sender) acknowledge(o *outgoing, ack *wire.UsageAck) {
	replaced := ack.Fence < o.fence
	o.fence = max(o.fence, ack.Fence)
	switch {
	case ack.Sequence >= o.sequence:
		o.acknowledged = o.sequence
		o.unacknowledged = nil
	case ack.Sequence < o.acknowledged && !replaced:
		s.giveUp(o)
	}
}

// giveUp drops a batch that may or may not have been counted, and counts that.
// The source begins anew.
func (s *Sender) giveUp(o *outgoing) {
	s.recorder.dropped.Add(int64(len(o.unacknowledged.Entries)))
	o.unacknowledged = nil
	o.sequence, o.acknowledged = 0, 0
}

func (s *Sender) exchange(ctx context.Context, owner string, part *wire.UsagePart) *wire.UsagePart {
	if owner == s.host {
		return s.keepers.HandleUsage(part)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	answer, err := s.peers.ExchangeUsage(ctx, owner, part)
	if err != nil {
		return nil
	}
	return answer
}

// maxBatchEntries bounds one batch.
const maxBatchEntries = 4096

// begin makes a batch of what waits, oldest windows first.
func (o *outgoing) begin(shard int, source string) {
	if len(o.next) == 0 {
		return
	}
	keys := make([]windowLine, 0, len(o.next))
	for key := range o.next {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, windowLine.compare)
	keys = keys[:min(len(keys), maxBatchEntries)]
	o.sequence++
	o.begun = time.Now()
	o.unacknowledged = &wire.UsageBatch{Shard: int32(shard), Source: source, Sequence: o.sequence}
	for _, key := range keys {
		o.unacknowledged.Entries = append(o.unacknowledged.Entries, entryOf(key, o.next[key]))
		delete(o.next, key)
	}
}

func (k windowLine) compare(o windowLine) int {
	return cmp.Or(
		cmp.Compare(k.Window, o.Window),
		cmp.Compare(k.Workspace, o.Workspace),
		cmp.Compare(k.Model, o.Model),
	)
}

func entryOf(k windowLine, f Figures) *wire.UsageEntry {
	return &wire.UsageEntry{
		Window:       int64(k.Window),
		Workspace:    k.Workspace,
		Model:        k.Model,
		PromptTokens: f.PromptTokens,
		OutputTokens: f.OutputTokens,
		CachedTokens: f.CachedTokens,
		Calls:        f.Calls,
	}
}

func lineOf(e *wire.UsageEntry) (windowLine, Figures) {
	return windowLine{Window(e.Window), Line{e.Workspace, e.Model}}, Figures{
		PromptTokens: e.PromptTokens,
		OutputTokens: e.OutputTokens,
		CachedTokens: e.CachedTokens,
		Calls:        e.Calls,
	}
}
