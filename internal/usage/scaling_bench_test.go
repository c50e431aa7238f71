package usage

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// The sizes of the benchmarked system: the number of usage shards, of entry hosts, and
// of models used by five workspaces (1.2 per workspace).
const (
	benchShards             = 32
	benchHosts              = 370
	modelsPerFiveWorkspaces = 6
)

// benchLine returns the i-th line of a window.
func benchLine(window Window, i int) windowLine {
	return windowLine{window, Line{fmt.Sprintf("workspace-%05d", i*5/modelsPerFiveWorkspaces), fmt.Sprint("model-", i%18)}}
}

// BenchmarkAggregatorWrite measures a write to one of 32 shards in which every
// workspace uses 1.2 models on average in each of two open windows. The write applies
// one batch from each of half the hosts.
func BenchmarkAggregatorWrite(b *testing.B) {
	for _, workspaces := range []int{1000, 7000, 28_000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			settings := DefaultSettings()
			settings.Window = time.Hour
			store := kv.New(kv.Options{}).Client("keeper")
			aggregator := &shardAggregator{settings: settings, host: "h", store: store, stats: &Stats{}}
			aggregator.record = record.New[shardRecord](store, aggregator.key(), record.NewWriteTokens("h", "1"))
			aggregator.reset()
			now := time.Now()
			if err := aggregator.step(b.Context(), 1, now); err != nil {
				b.Fatal(err)
			}
			current := settings.windowAt(now)
			lines := workspaces * modelsPerFiveWorkspaces / 5 / benchShards
			initial := &wire.UsageBatch{Source: "fill/1", Sequence: 1}
			for i := range lines {
				figures := Figures{PromptTokens: 1_234_567, OutputTokens: 234_567, CachedTokens: 345_678, Calls: 1234}
				initial.Entries = append(initial.Entries, toWireEntry(benchLine(current, i), figures), toWireEntry(benchLine(current+3600, i), figures))
			}
			aggregator.accept(initial)
			sequence := int64(0)
			write := func() {
				sequence++
				for host := range benchHosts / 2 {
					entry := toWireEntry(benchLine(current, host%lines), Figures{PromptTokens: 100, Calls: 1})
					aggregator.accept(&wire.UsageBatch{Source: fmt.Sprintf("entry-host-%d/0123456789abcdef", host), Sequence: sequence, Entries: []*wire.UsageEntry{entry}})
				}
				if err := aggregator.applyPending(b.Context(), now); err != nil {
					b.Fatal(err)
				}
			}
			write()
			for b.Loop() {
				write()
			}
			stored, err := store.Get(b.Context(), aggregator.key())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(stored.Value)), "record-B")
			b.ReportMetric(float64(lines), "lines/window")
		})
	}
}

// BenchmarkBatchBytes reports the encoded size of a batch of one line and of its
// acknowledgement.
func BenchmarkBatchBytes(b *testing.B) {
	entry := toWireEntry(benchLine(1_790_000_000, 1), Figures{PromptTokens: 5000, OutputTokens: 300, CachedTokens: 1000, Calls: 1})
	request := &wire.PeerMessage{From: "entry-host-100", Usage: &wire.UsagePart{Batches: []*wire.UsageBatch{
		{Shard: 31, Source: "entry-host-100/0123456789abcdef", Sequence: 100_000, Entries: []*wire.UsageEntry{entry}},
	}}}
	answer := &wire.PeerMessage{From: "entry-host-101", Incarnation: "0123456789abcdef", Usage: &wire.UsagePart{Acks: []*wire.UsageAck{
		{Shard: 31, Known: true, Sequence: 100_000},
	}}}
	for b.Loop() {
		_, _ = proto.Marshal(request)
	}
	b.ReportMetric(float64(proto.Size(request)), "batch-B")
	b.ReportMetric(float64(proto.Size(answer)), "answer-B")
}
