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

// site is a few hosts with a store and a report interface.
type site struct {
	settings Settings
	store    *kv.Store
	sink     *sink
	hosts    map[string]*host
	// owner is whom hosts take for the keeper; held are those who believe it.
	owner string
	held  map[string]int64
	fence int64
}

type host struct {
	name     string
	recorder *Recorder
	sender   *Sender
	keepers  *Keepers
	down     bool
}

// ownership is the site as one host sees it.
type ownership struct {
	site *site
	name string
}

func (o ownership) Owner(int) (string, bool) { return o.site.owner, o.site.owner != "" }

func (o ownership) Held(int) (int64, time.Time, bool) {
	fence, ok := o.site.held[o.name]
	return fence, time.Now().Add(2 * time.Second), ok
}

func (s *site) ExchangeUsage(_ context.Context, name string, part *wire.UsagePart) (*wire.UsagePart, error) {
	h := s.hosts[name]
	if h == nil || h.down {
		return nil, errors.New("unreachable")
	}
	return h.keepers.HandleUsage(part), nil
}

func newSite(hosts int) *site {
	s := &site{settings: DefaultSettings(), store: kv.New(kv.Options{}), sink: &sink{}, hosts: make(map[string]*host), held: make(map[string]int64)}
	s.settings.Shards = 2
	for i := range hosts {
		s.start(fmt.Sprint("h", i), 0)
	}
	s.elect("h0")
	return s
}

func (s *site) start(name string, incarnation int) *host {
	source := fmt.Sprintf("%s/%d", name, incarnation)
	o := ownership{s, name}
	h := &host{name: name, recorder: NewRecorder(s.settings)}
	h.keepers = NewKeepers(s.settings, name, record.NewWriteTokens(name, fmt.Sprint(incarnation)), o, s.store, s.sink)
	h.sender = NewSender(s.settings, name, source, h.recorder, o, s, h.keepers)
	s.hosts[name] = h
	return h
}

// elect gives the shards to another host; the old one goes on believing that
// it holds them until depose.
func (s *site) elect(name string) {
	s.fence++
	s.owner = name
	s.held[name] = s.fence
}

func (s *site) depose() {
	for name := range s.held {
		if name != s.owner {
			delete(s.held, name)
		}
	}
}

// tick lets every host do what is due in one second.
func (s *site) tick(ctx context.Context) {
	time.Sleep(time.Second)
	for i := range len(s.hosts) {
		h := s.hosts[fmt.Sprint("h", i)]
		if h.down {
			continue
		}
		h.sender.Flush(ctx)
		h.keepers.Step(ctx)
	}
}

// sink is the report interface: it records each page's first body.
type sink struct {
	mu       sync.Mutex
	pages    map[string][]byte
	lose     func() bool
	changed  int
	repeated int
}

func (s *sink) Report(_ context.Context, r backing.UsageReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pages == nil {
		s.pages = make(map[string][]byte)
	}
	key := fmt.Sprint(r.Window, r.Shard, r.Page)
	if old, ok := s.pages[key]; ok {
		s.repeated++
		if string(old) != string(r.Body) {
			s.changed++
		}
	}
	s.pages[key] = r.Body
	if s.lose != nil && s.lose() {
		return backing.ErrUnknown
	}
	return nil
}

func (s *sink) total(t *testing.T) Figures {
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

func TestReportedSumsEqualWhatWasCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		var want Figures
		for second := range 300 {
			for _, h := range s.hosts {
				h.recorder.Add(fmt.Sprint("w", second%7), "m", 10, 3, 1, 1)
				want = want.Plus(Figures{10, 3, 1, 1})
			}
			s.tick(t.Context())
		}
		for range 90 {
			s.tick(t.Context())
		}
		is.Equal(s.sink.total(t), want)
		is.Equal(s.sink.changed, 0)
		s.store.Close()
	})
}

// run drives the site through seeded faults and returns what was counted.
func (s *site) run(ctx context.Context, rnd *rand.Rand, seconds int) Figures {
	var want Figures
	for range seconds {
		switch rnd.IntN(12) {
		case 0:
			s.elect(fmt.Sprint("h", rnd.IntN(len(s.hosts))))
		case 1:
			s.depose()
		case 2:
			s.store.SetDown(true)
		case 3, 4:
			s.store.SetDown(false)
		case 5:
			s.store.LoseNext(1 + rnd.IntN(3))
		case 6:
			s.store.DelayWrites(0.3, 3*time.Second)
		case 7:
			s.store.DelayWrites(0, 0)
		}
		for _, h := range s.hosts {
			n := int64(1 + rnd.IntN(50))
			h.recorder.Add(fmt.Sprint("w", rnd.IntN(9)), "m", n, n, 0, 1)
			want = want.Plus(Figures{n, n, 0, 1})
		}
		s.tick(ctx)
	}
	s.store.SetDown(false)
	s.store.DelayWrites(0, 0)
	s.depose()
	for range 120 {
		s.tick(ctx)
	}
	return want
}

func TestSumsHoldThroughTakeoversAndLostAnswers(t *testing.T) {
	const seeds = 40
	repeated := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 1))
				s := newSite(3)
				loss := rand.New(rand.NewPCG(seed, 2))
				s.sink.lose = func() bool { return loss.IntN(5) == 0 }
				want := s.run(t.Context(), rnd, 400)
				is.Equal(s.sink.total(t), want)
				is.Equal(s.sink.changed, 0)
				repeated += s.sink.repeated
				s.store.Close()
			})
		})
	}
	t.Logf("%d seeds, %d pages reported again", seeds, repeated)
	if repeated < seeds {
		t.Error("too few repeated reports to prove anything")
	}
}

// TestBrokenKeeperIsCaught checks that the sums of the test above would not
// hold without the memory of applied batches.
func TestBrokenKeeperIsCaught(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		for _, h := range s.hosts {
			for _, k := range h.keepers.keepers {
				k.flaws.countsRepeats = true
			}
		}
		want := s.run(t.Context(), rand.New(rand.NewPCG(3, 1)), 400)
		is.True(s.sink.total(t) != want)
		s.store.Close()
	})
}

func TestCrashLosesAtMostTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		const crash = 100
		for second := range 200 {
			for name, h := range s.hosts {
				if name == "h2" && second > crash {
					continue
				}
				h.recorder.Add("w", "m", 1, 1, 0, 1)
			}
			s.tick(t.Context())
			if second == crash {
				s.hosts["h2"].down = true
			}
		}
		for range 90 {
			s.tick(t.Context())
		}
		want := int64(200 + 200 + crash + 1)
		lost := want - s.sink.total(t).Calls
		t.Logf("calls lost by the crash: %d of one a second", lost)
		is.True(lost >= 0 && lost <= 2)
		s.store.Close()
	})
}

func TestLateFiguresAreCorrections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		late := s.hosts["h1"]
		late.recorder.Add("w", "m", 5, 5, 0, 1)
		late.down = true
		for range 200 {
			s.hosts["h0"].recorder.Add("w", "m", 1, 1, 0, 1)
			s.tick(t.Context())
		}
		late.down = false
		for range 200 {
			s.tick(t.Context())
		}
		corrections := 0
		for _, body := range s.sink.pages {
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
		is.Equal(s.sink.total(t).Calls, int64(201))
		s.store.Close()
	})
}

func TestPagesStayBelowTheBound(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.PageBytes = 4000
	l := make(lines)
	for i := range 500 {
		l[lineKey{Line: Line{Workspace: fmt.Sprint("workspace-", i), Model: "m"}}] = Figures{PromptTokens: 1 << 40}
	}
	pages, err := encodePages(settings, 0, 60, l)
	is.NoErr(err)
	is.True(len(pages) > 1)
	again, err := encodePages(settings, 0, 60, l)
	is.NoErr(err)
	for i, p := range pages {
		is.True(len(p.body) <= settings.PageBytes)
		is.Equal(p, again[i])
	}
}
