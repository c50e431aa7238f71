package usage

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// More lines than one record holds wait on their hosts until a window is
// sealed; nothing is lost and the shard goes on.
func TestLinesBeyondOneRecordWaitForTheSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		var want Figures
		for second := range 5 {
			for n := range 500 {
				name := fmt.Sprintf("workspace-%05d-%s", second*500+n, strings.Repeat("x", 900))
				s.hosts["h1"].recorder.Add(name, "model-with-a-long-name", 7, 2, 0, 1)
				want = want.Plus(Figures{7, 2, 0, 1})
			}
			s.tick(t.Context())
		}
		full := int64(0)
		for n := 0; n < 600 && s.sink.total(t) != want; n++ {
			s.tick(t.Context())
			full = s.hosts["h0"].keepers.Stats().Full.Load()
		}
		is.Equal(s.sink.total(t), want)
		is.True(full > 0)
		is.Equal(s.hosts["h0"].keepers.Stats().Failures.Load(), int64(0))
		is.Equal(s.hosts["h1"].recorder.Dropped(), int64(0))
		s.store.Close()
	})
}

// A batch whose acknowledgement was lost before a day without the store counts
// once, also when other hosts are back first.
func TestOutageOfADayCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		var want Figures
		add := func(name string) {
			s.hosts[name].recorder.Add("w", "m", 5, 1, 0, 1)
			want = want.Plus(Figures{5, 1, 0, 1})
		}
		for range 5 {
			add("h1")
			add("h2")
			s.tick(t.Context())
		}
		add("h2")
		s.hosts["h2"].sender.Flush(t.Context())
		s.hosts["h0"].keepers.Step(t.Context()) // counted; h2 does not learn so
		s.hosts["h2"].down = true
		s.store.SetDown(true)
		for range 20 {
			time.Sleep(time.Hour)
			add("h1")
			s.hosts["h1"].sender.Flush(t.Context())
		}
		s.store.SetDown(false)
		for range 200 {
			s.tick(t.Context())
		}
		s.hosts["h2"].down = false
		add("h2")
		for range 200 {
			s.tick(t.Context())
		}
		is.Equal(s.sink.total(t), want)
		is.Equal(s.hosts["h1"].recorder.Dropped()+s.hosts["h2"].recorder.Dropped(), int64(0))
		s.store.Close()
	})
}

// A source that is forgotten is told so: its batch may be counted already, and
// is not counted again.
func TestForgottenSourceIsNotCountedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		for range 3 {
			s.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
			s.tick(t.Context())
		}
		s.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
		s.hosts["h1"].sender.Flush(t.Context())
		s.hosts["h0"].keepers.Step(t.Context()) // counted; h1 does not learn so
		s.hosts["h1"].down = true
		for range 8 * 60 {
			s.hosts["h0"].recorder.Add("w", "m", 1, 1, 0, 1)
			time.Sleep(59 * time.Second)
			s.tick(t.Context())
		}
		s.hosts["h1"].down = false
		for range 30 {
			s.hosts["h1"].recorder.Add("w", "m", 1, 1, 0, 1)
			s.tick(t.Context())
		}
		for range 200 {
			s.tick(t.Context())
		}
		is.Equal(s.sink.total(t).Calls, int64(4+8*60+30))
		is.Equal(s.hosts["h1"].recorder.Dropped(), int64(1))
		s.store.Close()
	})
}

func TestKeeperTakesOnlyTheNextBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.tick(t.Context())
		k := s.hosts["h0"].keepers
		part := &wire.UsagePart{Batches: []*wire.UsageBatch{{Source: "old/1", Sequence: 9, Entries: []*wire.UsageEntry{{Window: 60, Workspace: "w", Calls: 1}}}}}
		k.HandleUsage(part)
		s.tick(t.Context())
		is.Equal(k.HandleUsage(part).Acks[0].Sequence, int64(0))
		s.store.Close()
	})
}

// A keeper that goes on believing in its lease writes and reports nothing once
// its successor has written, also while that has nothing to write.
func TestReplacedKeeperStaysReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		s.hosts["h2"].recorder.Add("w", "m", 1, 1, 0, 1)
		s.tick(t.Context())
		s.tick(t.Context())
		s.elect("h1")
		s.tick(t.Context())
		old := s.hosts["h0"].keepers // takes its steps before its successor
		before := old.Stats().Writes.Load()
		for shard := range int32(2) { // from a host that has not heard of the successor
			b := &wire.UsageBatch{Shard: shard, Source: "h9/0", Sequence: 1, Entries: []*wire.UsageEntry{{Window: 60, Workspace: "w", Calls: 1}}}
			old.HandleUsage(&wire.UsagePart{Batches: []*wire.UsageBatch{b}})
		}
		for range 120 {
			s.tick(t.Context())
		}
		is.Equal(old.Stats().Writes.Load(), before)
		is.Equal(old.Stats().Reported.Load(), int64(0))
		is.Equal(s.sink.total(t).Calls, int64(1))
		s.store.Close()
	})
}
