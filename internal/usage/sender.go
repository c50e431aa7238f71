package usage

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Sender sends a host's usage to the owners of the shards. It is not safe for
// concurrent use.
type Sender struct {
	settings Settings
	host     string
	// source identifies the host and its incarnation in batches.
	source    string
	recorder  *Recorder
	ownership Ownership
	peers     Peers
	// local aggregates the shards that this host owns itself.
	local *Aggregator
	// outboxes is indexed by shard.
	outboxes []outbox
}

// outbox is the usage of one shard that is not confirmed to be in the store.
type outbox struct {
	// sequence is the number of the last batch created, starting at 1.
	sequence int64
	// ackedSequence is the last batch that the owner acknowledged as stored.
	ackedSequence int64
	// fence is the highest fencing token received in an acknowledgement.
	fence int64
	// inFlight is the batch that is resent until the owner acknowledges it, or nil.
	inFlight  *wire.UsageBatch
	batchedAt time.Time
	pending   map[windowLine]Figures
}

// NewSender returns a sender for the named host. source identifies the host and its
// incarnation; local aggregates the shards that the host owns itself.
func NewSender(s Settings, host, source string, r *Recorder, ownership Ownership, peers Peers, local *Aggregator) *Sender {
	sender := &Sender{settings: s, host: host, source: source, recorder: r, ownership: ownership, peers: peers, local: local}
	sender.outboxes = make([]outbox, s.Shards)
	for i := range sender.outboxes {
		sender.outboxes[i].pending = make(map[windowLine]Figures)
	}
	return sender
}

// Run calls Flush at the flush interval until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(s.settings.FlushInterval)
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

// Drain flushes until all usage is in the store and returns true, or returns false if
// ctx ends first. The recorder must not be in use any more.
func (s *Sender) Drain(ctx context.Context) bool {
	for !s.Flush(ctx) {
		timer := time.NewTimer(s.settings.WriteInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
}

// Flush sends the recorded usage, at most two batches per shard, and reports whether
// all of it has been acknowledged.
func (s *Sender) Flush(ctx context.Context) bool {
	s.collect()
	empty := true
	for i := range s.outboxes {
		o := &s.outboxes[i]
		s.send(ctx, i, o)
		if o.inFlight == nil && len(o.pending) > 0 {
			s.send(ctx, i, o)
		}
		empty = empty && o.inFlight == nil && len(o.pending) == 0
	}
	return empty
}

// collect moves the recorded usage to the outboxes of its shards.
func (s *Sender) collect() {
	for key, figures := range s.recorder.drain() {
		o := &s.outboxes[shardOf(key.Workspace, s.settings.Shards)]
		old, known := o.pending[key]
		if !known && len(o.pending) >= s.settings.MaxLines {
			s.recorder.dropped.Add(1)
			continue
		}
		o.pending[key] = old.Plus(figures)
	}
}

// firstBatchRetryLimit is how long the first batch of a source is retried. It is
// shorter than sourceRetention, after which an owner would accept the first sequence
// number again. Later batches are retried without limit, because the acknowledgement
// shows if the state of the source has expired at the owner.
const firstBatchRetryLimit = 5 * time.Hour

// send sends the batch in flight, or creates and sends the next one.
func (s *Sender) send(ctx context.Context, shard int, o *outbox) {
	if o.inFlight != nil && o.sequence == 1 && time.Since(o.batchedAt) > firstBatchRetryLimit {
		s.discardBatch(o)
	}
	if o.inFlight == nil {
		o.startBatch(shard, s.source)
	}
	if o.inFlight == nil {
		return
	}
	owner, ok := s.ownership.Owner(shard)
	if !ok {
		return
	}
	part := &wire.UsagePart{Batches: []*wire.UsageBatch{o.inFlight}}
	answer := s.exchange(ctx, owner, part)
	for _, ack := range answer.GetAcks() {
		if ack.Known && int(ack.Shard) == shard {
			s.handleAck(o, ack)
			return
		}
	}
}

// handleAck processes an acknowledgement. A sequence number below one that was
// acknowledged earlier means that the state of this source has expired, unless the
// acknowledgement comes from an owner that has been replaced since.
func (s *Sender) handleAck(o *outbox, ack *wire.UsageAck) {
	replaced := ack.Fence < o.fence
	o.fence = max(o.fence, ack.Fence)
	switch {
	case ack.Sequence >= o.sequence:
		o.ackedSequence = o.sequence
		o.inFlight = nil
	case ack.Sequence < o.ackedSequence && !replaced:
		s.discardBatch(o)
	}
}

// discardBatch discards a batch that may or may not have been counted and adds its
// entries to the dropped count. The sequence numbers of the source restart at 1.
func (s *Sender) discardBatch(o *outbox) {
	s.recorder.dropped.Add(int64(len(o.inFlight.Entries)))
	o.inFlight = nil
	o.sequence, o.ackedSequence = 0, 0
}

// exchange sends part to the owner and returns its response, or nil after an error.
func (s *Sender) exchange(ctx context.Context, owner string, part *wire.UsagePart) *wire.UsagePart {
	if owner == s.host {
		return s.local.HandleUsage(part)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	answer, err := s.peers.ExchangeUsage(ctx, owner, part)
	if err != nil {
		return nil
	}
	return answer
}

// maxBatchEntries bounds the entries of one batch.
const maxBatchEntries = 4096

// startBatch creates a batch from the pending usage, oldest windows first.
func (o *outbox) startBatch(shard int, source string) {
	if len(o.pending) == 0 {
		return
	}
	keys := make([]windowLine, 0, len(o.pending))
	for key := range o.pending {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, windowLine.compare)
	keys = keys[:min(len(keys), maxBatchEntries)]
	o.sequence++
	o.batchedAt = time.Now()
	o.inFlight = &wire.UsageBatch{Shard: int32(shard), Source: source, Sequence: o.sequence}
	for _, key := range keys {
		o.inFlight.Entries = append(o.inFlight.Entries, toWireEntry(key, o.pending[key]))
		delete(o.pending, key)
	}
}

func (l windowLine) compare(other windowLine) int {
	return cmp.Or(
		cmp.Compare(l.Window, other.Window),
		cmp.Compare(l.Workspace, other.Workspace),
		cmp.Compare(l.Model, other.Model),
	)
}

func toWireEntry(line windowLine, figures Figures) *wire.UsageEntry {
	return &wire.UsageEntry{
		Window:       int64(line.Window),
		Workspace:    line.Workspace,
		Model:        line.Model,
		PromptTokens: figures.PromptTokens,
		OutputTokens: figures.OutputTokens,
		CachedTokens: figures.CachedTokens,
		Calls:        figures.Calls,
	}
}

func fromWireEntry(entry *wire.UsageEntry) (windowLine, Figures) {
	return windowLine{Window(entry.Window), Line{entry.Workspace, entry.Model}}, Figures{
		PromptTokens: entry.PromptTokens,
		OutputTokens: entry.OutputTokens,
		CachedTokens: entry.CachedTokens,
		Calls:        entry.Calls,
	}
}
