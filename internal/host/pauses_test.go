package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/gateway"
	"github.com/acacialink/acacialink/internal/leader"
)

// Bounds of the users' rule on endpoints that turn requests away for a time.
const (
	pauseKnownTime = 500 * time.Millisecond
	pauseSlack     = 2
)

// sheddingFleet is a fleet whose engines turn requests away and want nothing for a time.
type sheddingFleet struct {
	*engineFleet

	shedMu sync.Mutex // guards the fields below
	rng    *rand.Rand
	// share is the share of the requests that are turned away, pause the longest time.
	share float64
	pause time.Duration
	// most is the largest number of requests that an engine got from a host in a pause.
	most, turnedAway int
}

// pausedSender is the Sender of one host.
type pausedSender struct {
	*sheddingFleet
	stated func(e *endpoint.Endpoint, s endpoint.Statement)
	// pauses holds those that engines stated to this host, by engine.
	pauses map[string][]*statedPause
}

type statedPause struct {
	from, until time.Time
	arrived     int
}

// OnStatement implements StatementSource.
func (s *pausedSender) OnStatement(stated func(e *endpoint.Endpoint, s endpoint.Statement)) {
	s.stated = stated
}

// turnsAway counts a request that reached an engine and reports whether it is turned away.
func (s *pausedSender) turnsAway(e *endpoint.Endpoint) bool {
	now := time.Now()
	s.shedMu.Lock()
	for _, p := range s.pauses[e.ID] {
		if now.Sub(p.from) >= pauseKnownTime && now.Before(p.until) {
			p.arrived++
			s.most = max(s.most, p.arrived)
		}
	}
	if s.rng.Float64() >= s.share {
		s.shedMu.Unlock()
		return false
	}
	s.turnedAway++
	pause := time.Duration(s.rng.Float64() * float64(s.pause))
	s.pauses[e.ID] = append(s.pauses[e.ID], &statedPause{from: now, until: now.Add(pause)})
	s.shedMu.Unlock()
	s.stated(e, endpoint.Statement{Pause: pause})
	return true
}

func (s *pausedSender) Send(ctx context.Context, c *gateway.Call, d *gateway.Dispatch) (*gateway.Reply, error) {
	if s.turnsAway(d.Endpoint) {
		return &gateway.Reply{Status: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), NotRun: true, Authentic: true}, nil
	}
	return s.engineFleet.Send(ctx, c, d)
}

func (s *pausedSender) Prefill(ctx context.Context, c *gateway.Call, d *gateway.Dispatch) (gateway.Prefilled, error) {
	if s.turnsAway(d.Endpoint) {
		return gateway.Prefilled{}, gateway.ErrPrefillRejected
	}
	return s.engineFleet.Prefill(ctx, c, d)
}

func (s *pausedSender) Release(ctx context.Context, e *endpoint.Endpoint, p gateway.Prefilled) error {
	s.turnsAway(e)
	return s.engineFleet.Release(ctx, e, p)
}

func newSheddingFleet(t *testing.T, seed uint64, hosts, prefill, decode int) *sheddingFleet {
	s := &sheddingFleet{rng: rand.New(rand.NewPCG(seed, 9))} //nolint:gosec // a fixed seed
	newEngineFleetWith(t, hosts, 3, prefill, decode, func(f *engineFleet, o *Options) {
		if s.engineFleet == nil {
			s.engineFleet = f
		}
		o.Ports.Sender = &pausedSender{sheddingFleet: s, pauses: make(map[string][]*statedPause)}
	})
	time.Sleep(settlingTime)
	return s
}

// shed makes engines turn away a share of the requests for at most the given time.
func (s *sheddingFleet) shed(share float64, pause time.Duration) {
	s.shedMu.Lock()
	defer s.shedMu.Unlock()
	s.share, s.pause = share, pause
}

// counts returns how many requests were turned away and the most that an engine got from a
// host in a pause.
func (s *sheddingFleet) counts() (turnedAway, most int) {
	s.shedMu.Lock()
	defer s.shedMu.Unlock()
	return s.turnedAway, s.most
}

// Engines turn away a part of the requests, then all of them at once, while hosts are killed,
// separated and added. Each engine is left alone for the time that it states.
func TestEnginesGetNothingWhileTheyWantNothing(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSheddingFleet(t, seed, 5, 4, 5)
				var during, after callerCounts
				var trouble sync.WaitGroup
				trouble.Go(func() { f.troubleHosts(rand.New(rand.NewPCG(seed, 8))) }) //nolint:gosec // a fixed seed
				f.shed(0.2, 2*time.Second)
				f.play(seed, 6*time.Second, 40, 0, &during)
				f.shed(1, 4*time.Second)
				f.play(seed+10, 2*time.Second, 40, 0, nil)
				f.shed(0, 0)
				trouble.Wait()
				f.play(seed+20, 5*time.Second, 40, 0, nil)
				f.play(seed+30, 3*time.Second, 40, 0, &after)
				turnedAway, most := f.counts()
				t.Logf("%d turned away, at most %d sent in a pause; served %.3f during, %.3f after", turnedAway, most, during.share(), after.share())
				is.True(turnedAway > 20)
				is.True(most <= pauseSlack)
				is.True(after.share() >= 0.99)
				f.end()
			})
		})
	}
}

// Guards against orders to an engine that wants nothing, and against none to one that does.
func TestPausedEngineGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSheddingFleet(t, 1, 1, 0, 1)
		defer f.end()
		x, engine := f.live()[0], f.engines[0].entry
		engines := pausedEngines{reportingEngines{}, x.tracker}
		_, err := engines.EngineState(t.Context(), engine)
		is.NoErr(err)
		x.endpointStated(engine, endpoint.Statement{Pause: time.Second})
		_, err = engines.EngineState(t.Context(), engine)
		is.True(errors.Is(err, backing.ErrUnavailable))
		time.Sleep(time.Second)
		_, err = engines.EngineState(t.Context(), engine)
		is.NoErr(err)
	})
}

type reportingEngines struct{ leader.Engines }

func (reportingEngines) EngineState(context.Context, *endpoint.Endpoint) (leader.EngineReport, error) {
	return leader.EngineReport{}, nil
}
