package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// testCluster is a set of hosts with a simulated store and report interface.
type testCluster struct {
	settings Settings
	store    *kv.Store
	sink     *fakeSink
	hosts    map[string]*testHost
	// owner is the host that all hosts address as the owner of every shard.
	owner string
	// fences are the fencing tokens of the hosts whose cached state shows them as
	// owner, including replaced ones.
	fences map[string]int64
	fence  int64
}

type testHost struct {
	name       string
	recorder   *Recorder
	sender     *Sender
	aggregator *Aggregator
	down       bool
}

// testOwnership is the ownership of shards in the cached state of one host.
type testOwnership struct {
	cluster *testCluster
	name    string
}

func (o testOwnership) Owner(int) (string, bool) { return o.cluster.owner, o.cluster.owner != "" }

func (o testOwnership) Held(int) (int64, time.Time, bool) {
	fence, ok := o.cluster.fences[o.name]
	return fence, time.Now().Add(2 * time.Second), ok
}

func (c *testCluster) ExchangeUsage(_ context.Context, name string, part *wire.UsagePart) (*wire.UsagePart, error) {
	h := c.hosts[name]
	if h == nil || h.down {
		return nil, errors.New("unreachable")
	}
	return h.aggregator.HandleUsage(part), nil
}

func newTestCluster(hosts int) *testCluster {
	c := &testCluster{settings: DefaultSettings(), store: kv.New(kv.Options{}), sink: &fakeSink{}, hosts: make(map[string]*testHost), fences: make(map[string]int64)}
	c.settings.Shards = 2
	for i := range hosts {
		c.startHost(fmt.Sprint("h", i), 0)
	}
	c.transferOwnership("h0")
	return c
}

func (c *testCluster) startHost(name string, incarnation int) *testHost {
	source := fmt.Sprintf("%s/%d", name, incarnation)
	ownership := testOwnership{c, name}
	h := &testHost{name: name, recorder: NewRecorder(c.settings)}
	h.aggregator = NewAggregator(c.settings, name, record.NewWriteTokens(name, fmt.Sprint(incarnation)), ownership, c.store, c.sink)
	h.sender = NewSender(c.settings, name, source, h.recorder, ownership, c, h.aggregator)
	c.hosts[name] = h
	return h
}

// transferOwnership makes another host the owner of all shards. The cached state of the
// previous owner remains until endStaleLeases.
func (c *testCluster) transferOwnership(name string) {
	c.fence++
	c.owner = name
	c.fences[name] = c.fence
}

// endStaleLeases removes the cached ownership of all replaced owners.
func (c *testCluster) endStaleLeases() {
	for name := range c.fences {
		if name != c.owner {
			delete(c.fences, name)
		}
	}
}

// advanceSecond advances the clock by one second and runs one flush and one step on
// every host that is up.
func (c *testCluster) advanceSecond(ctx context.Context) {
	time.Sleep(time.Second)
	for i := range len(c.hosts) {
		h := c.hosts[fmt.Sprint("h", i)]
		if h.down {
			continue
		}
		h.sender.Flush(ctx)
		h.aggregator.Step(ctx)
	}
}

// fakeSink is a simulated report interface that stores the last body received for each
// page.
type fakeSink struct {
	mu    sync.Mutex
	pages map[string][]byte
	// loseAnswer, if set, selects the reports that are stored but return ErrUnknown.
	loseAnswer func() bool
	// changedPages counts repeated reports whose body differs from the previous one.
	changedPages    int
	repeatedReports int
}

func (s *fakeSink) Report(_ context.Context, r backing.UsageReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pages == nil {
		s.pages = make(map[string][]byte)
	}
	key := fmt.Sprint(r.Window, r.Shard, r.Page)
	if old, ok := s.pages[key]; ok {
		s.repeatedReports++
		if string(old) != string(r.Body) {
			s.changedPages++
		}
	}
	s.pages[key] = r.Body
	if s.loseAnswer != nil && s.loseAnswer() {
		return backing.ErrUnknown
	}
	return nil
}

// total returns the sum of the figures on all reported pages.
func (s *fakeSink) total(t *testing.T) Figures {
	is := is.New(t)
	var sum Figures
	for _, body := range s.pages {
		var p Page
		is.NoErr(json.Unmarshal(body, &p))
		for _, line := range p.Lines {
			sum = sum.Plus(line.Figures)
		}
	}
	return sum
}

func TestReportedSumsMatchRecordedUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3)
		var want Figures
		for second := range 300 {
			for _, h := range cluster.hosts {
				h.recorder.Add(fmt.Sprint("w", second%7), "m", 10, 3, 1, 1)
				want = want.Plus(Figures{10, 3, 1, 1})
			}
			cluster.advanceSecond(t.Context())
		}
		for range 90 {
			cluster.advanceSecond(t.Context())
		}
		is.Equal(cluster.sink.total(t), want)
		is.Equal(cluster.sink.changedPages, 0)
		cluster.store.Close()
	})
}

// runWithFaults records usage under random faults from rnd, lets the cluster recover,
// and returns the usage recorded.
func (c *testCluster) runWithFaults(ctx context.Context, rnd *rand.Rand, seconds int) Figures {
	var want Figures
	for range seconds {
		switch rnd.IntN(12) {
		case 0:
			c.transferOwnership(fmt.Sprint("h", rnd.IntN(len(c.hosts))))
		case 1:
			c.endStaleLeases()
		case 2:
			c.store.SetDown(true)
		case 3, 4:
			c.store.SetDown(false)
		case 5:
			c.store.LoseNext(1 + rnd.IntN(3))
		case 6:
			c.store.DelayWrites(0.3, 3*time.Second)
		case 7:
			c.store.DelayWrites(0, 0)
		}
		for _, h := range c.hosts {
			n := int64(1 + rnd.IntN(50))
			h.recorder.Add(fmt.Sprint("w", rnd.IntN(9)), "m", n, n, 0, 1)
			want = want.Plus(Figures{n, n, 0, 1})
		}
		c.advanceSecond(ctx)
	}
	c.store.SetDown(false)
	c.store.DelayWrites(0, 0)
	c.endStaleLeases()
	for range 120 {
		c.advanceSecond(ctx)
	}
	return want
}

func TestReportedSumsAcrossTakeoversAndLostAnswers(t *testing.T) {
	const seeds = 40
	repeated := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 1))
				cluster := newTestCluster(3)
				loss := rand.New(rand.NewPCG(seed, 2))
				cluster.sink.loseAnswer = func() bool { return loss.IntN(5) == 0 }
				want := cluster.runWithFaults(t.Context(), rnd, 400)
				is.Equal(cluster.sink.total(t), want)
				is.Equal(cluster.sink.changedPages, 0)
				repeated += cluster.sink.repeatedReports
				cluster.store.Close()
			})
		})
	}
	t.Logf("%d seeds, %d pages reported again", seeds, repeated)
	if repeated < seeds {
		t.Error("too few repeated reports to exercise retries")
	}
}

// TestDuplicateCountingIsDetected checks that the comparison of sums in
// TestReportedSumsAcrossTakeoversAndLostAnswers fails if batches are applied more than
// once.
func TestDuplicateCountingIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3)
		for _, h := range cluster.hosts {
			for _, shard := range h.aggregator.shards {
				shard.faults.countDuplicates = true
			}
		}
		want := cluster.runWithFaults(t.Context(), rand.New(rand.NewPCG(3, 1)), 400)
		is.True(cluster.sink.total(t) != want)
		cluster.store.Close()
	})
}

func TestHostCrashLosesAtMostTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(3)
		const crash = 100
		for second := range 200 {
			for name, h := range cluster.hosts {
				if name == "h2" && second > crash {
					continue
				}
				h.recorder.Add("w", "m", 1, 1, 0, 1)
			}
			cluster.advanceSecond(t.Context())
			if second == crash {
				cluster.hosts["h2"].down = true
			}
		}
		for range 90 {
			cluster.advanceSecond(t.Context())
		}
		want := int64(200 + 200 + crash + 1)
		lost := want - cluster.sink.total(t).Calls
		t.Logf("calls lost by the crash: %d at a rate of one per second", lost)
		is.True(lost >= 0 && lost <= 2)
		cluster.store.Close()
	})
}

func TestLateFiguresAreReportedAsCorrections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(2)
		late := cluster.hosts["h1"]
		late.recorder.Add("w", "m", 5, 5, 0, 1)
		late.down = true
		for range 200 {
			cluster.hosts["h0"].recorder.Add("w", "m", 1, 1, 0, 1)
			cluster.advanceSecond(t.Context())
		}
		late.down = false
		for range 200 {
			cluster.advanceSecond(t.Context())
		}
		corrections := 0
		for _, body := range cluster.sink.pages {
			var p Page
			is.NoErr(json.Unmarshal(body, &p))
			for _, line := range p.Lines {
				if line.CorrectionFor != 0 {
					corrections++
					is.Equal(line.PromptTokens, int64(5))
				}
			}
		}
		is.Equal(corrections, 1)
		is.Equal(cluster.sink.total(t).Calls, int64(201))
		cluster.store.Close()
	})
}

func TestEncodePagesBoundsPageSize(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.PageBytes = 4000
	windowLines := make(lines)
	for i := range 500 {
		windowLines[lineKey{Line: Line{Workspace: fmt.Sprint("workspace-", i), Model: "m"}}] = Figures{PromptTokens: 1 << 40}
	}
	pages, err := encodePages(settings, 0, 60, windowLines)
	is.NoErr(err)
	is.True(len(pages) > 1)
	again, err := encodePages(settings, 0, 60, windowLines)
	is.NoErr(err)
	for i, p := range pages {
		is.True(len(p.body) <= settings.PageBytes)
		is.Equal(p, again[i])
	}
}
