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

// The sizes of the slopes: shards of the target, its entry hosts, and the
// models that a workspace uses in the mean, as fifths.
const (
	slopeShards    = 32
	slopeHosts     = 370
	modelsInFifths = 6
)

func slopeLine(w Window, i int) windowLine {
	return windowLine{w, Line{fmt.Sprintf("workspace-%05d", i*5/modelsInFifths), fmt.Sprint("model-", i%18)}}
}

// BenchmarkKeeperWrite measures a keeper's write of one of 32 shards in which
// all workspaces use 1.2 models in each of two open windows, with one batch
// of half of the hosts.
func BenchmarkKeeperWrite(b *testing.B) {
	for _, workspaces := range []int{1000, 7000, 28_000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			s := DefaultSettings()
			s.Window = time.Hour
			store := kv.New(kv.Options{}).Client("keeper")
			k := &keeper{settings: s, host: "h", store: store, stats: &Stats{}}
			k.record = record.New[shardRecord](store, k.key(), record.NewWriteTokens("h", "1"))
			k.drop()
			now := time.Now()
			if err := k.step(b.Context(), 1, now); err != nil {
				b.Fatal(err)
			}
			current := s.windowAt(now)
			lines := workspaces * modelsInFifths / 5 / slopeShards
			fill := &wire.UsageBatch{Source: "fill/1", Sequence: 1}
			for i := range lines {
				f := Figures{PromptTokens: 1_234_567, OutputTokens: 234_567, CachedTokens: 345_678, Calls: 1234}
				fill.Entries = append(fill.Entries, entryOf(slopeLine(current, i), f), entryOf(slopeLine(current+3600, i), f))
			}
			k.accept(fill)
			sequence := int64(0)
			write := func() {
				sequence++
				for host := range slopeHosts / 2 {
					e := entryOf(slopeLine(current, host%lines), Figures{PromptTokens: 100, Calls: 1})
					k.accept(&wire.UsageBatch{Source: fmt.Sprintf("entry-host-%d/0123456789abcdef", host), Sequence: sequence, Entries: []*wire.UsageEntry{e}})
				}
				if err := k.write(b.Context(), now); err != nil {
					b.Fatal(err)
				}
			}
			write()
			for b.Loop() {
				write()
			}
			kv, err := store.Get(b.Context(), k.key())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(kv.Value)), "record-B")
			b.ReportMetric(float64(lines), "lines/window")
		})
	}
}

// BenchmarkBatchBytes reports the bytes of a batch of one line, question and answer.
func BenchmarkBatchBytes(b *testing.B) {
	e := entryOf(slopeLine(1_790_000_000, 1), Figures{PromptTokens: 5000, OutputTokens: 300, CachedTokens: 1000, Calls: 1})
	part := &wire.PeerMessage{From: "entry-host-100", Usage: &wire.UsagePart{Batches: []*wire.UsageBatch{
		{Shard: 31, Source: "entry-host-100/0123456789abcdef", Sequence: 100_000, Entries: []*wire.UsageEntry{e}},
	}}}
	answer := &wire.PeerMessage{From: "entry-host-101", Incarnation: "0123456789abcdef", Usage: &wire.UsagePart{Acks: []*wire.UsageAck{
		{Shard: 31, Known: true, Sequence: 100_000},
	}}}
	for b.Loop() {
		_, _ = proto.Marshal(part)
	}
	b.ReportMetric(float64(proto.Size(part)), "batch-B")
	b.ReportMetric(float64(proto.Size(answer)), "answer-B")
}
