package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/suspect"
	"github.com/acacialink/acacialink/internal/termination"
)

// pausingEvents writes the sample events with a pause in which a resumable stream stalls.
func pausingEvents(w io.Writer) {
	write(w, sampleEvents[:len(sampleEvents)/2])
	time.Sleep(1300 * time.Millisecond)
	write(w, sampleEvents[len(sampleEvents)/2:])
}

// Guards against streams that leave a slow engine and are then refused at every other one.
func TestStreamThatCannotGoOnElsewhereKeepsItsEngine(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"the host stops": func(f *fixture) {
			f.termination.Begin(termination.NewPlan(time.Now().Add(-5500*time.Millisecond), 8*time.Second))
		},
		"no other engine": func(f *fixture) {
			for _, id := range []string{"p1", "e1", "e2"} {
				f.endpoints.Remove(time.Now(), id, 1)
			}
		},
		"the others have long queues": func(f *fixture) {
			loads := make(map[string]placement.Load)
			for _, id := range []string{"p1", "e1", "e2"} {
				loads[id] = placement.Load{PrefillTokens: 1_000_000}
			}
			f.gateway.opts.Tracker.SetPeerLoads(time.Now().Add(time.Second), "peer", loads)
		},
		"its segment is held back": func(f *fixture) {
			f.gateway.opts.Suspects.Order(time.Now(), suspect.Segment{Service: "engine", Hash: 0xaa}, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t).configure()
				f.gateway.opts.Ingress = segmentIngress{}
				f.send = func(_ int, ctx context.Context, d *Dispatch) (*Reply, error) {
					prepare(f)
					return scriptedReply(ctx, pausingEvents), nil
				}
				defer time.Sleep(time.Hour) // the script ends
				w := f.serve("/resume/x", "Prompt", "50", "Segments", "aa bb")
				is.Equal(w.Body.String(), sampleEvents)
				is.Equal(len(f.sends), 1)
				is.Equal(f.gateway.Account(), Account{Begun: 1, Ended: 1})
			})
		})
	}
}

// Guards against a stop that refuses a stream the next step after it has left its engine.
func TestStreamThatLeftItsEngineIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t).configure()
		prefills := 0
		f.prefill = func(context.Context, *Dispatch) (Prefilled, error) {
			if prefills++; prefills == 2 {
				f.termination.Begin(termination.NewPlan(time.Now().Add(-6500*time.Millisecond), 8*time.Second))
			}
			return Prefilled{CacheSource: "cache"}, nil
		}
		f.send = func(n int, ctx context.Context, d *Dispatch) (*Reply, error) {
			if n == 1 {
				return scriptedReply(ctx, pausingEvents), nil
			}
			return newReply(http.StatusOK, sampleEvents[len(sampleEvents)/2:]), nil
		}
		defer time.Sleep(time.Hour) // the script ends
		w := f.serve("/resume/x", "Prompt", "4000")
		is.Equal(w.Body.String(), sampleEvents)
		is.Equal(len(f.sends), 2)
		is.Equal(prefills, 2)
	})
}
