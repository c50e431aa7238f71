package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/verdict"
)

// pauseAll makes all endpoints of a service want nothing for a time.
func (f *fixture) pauseAll(service string, pause time.Duration) {
	for _, e := range f.endpoints.Service(service) {
		f.gateway.opts.Tracker.PauseStated(time.Now(), e, pause)
	}
}

func TestCallersAreRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/once/x", "/read/x"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
				return newReply(http.StatusOK, sampleEvents), nil
			}
			f.pauseAll("app", 3*time.Second)
			f.pauseAll("engine", 3*time.Second)
			begin := time.Now()
			w := f.serve(path, "Prompt", "50")
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(w.Body.String(), codePaused))
			is.True(strings.Contains(w.Body.String(), verdict.NotRun.String()))
			is.Equal(time.Since(begin), time.Duration(0))
			is.Equal(len(f.sends), 0)
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= 3 && after <= 6)
			time.Sleep(3 * time.Second)
			is.Equal(f.serve(path, "Prompt", "50").Code, http.StatusOK)
		})
	}
}

func TestRequestWaitsForEndOfShortPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t).configure()
		f.send = func(int, context.Context, *Dispatch) (*Reply, error) {
			return newReply(http.StatusOK, sampleEvents), nil
		}
		f.pauseAll("engine", 150*time.Millisecond)
		begin := time.Now()
		is.Equal(f.serve("/stream/x", "Prompt", "50").Code, http.StatusOK)
		is.Equal(time.Since(begin), 150*time.Millisecond)
	})
}

// Guards against callers who return to a service before any of its endpoints takes requests.
func TestRejectedCallerIsToldWhenFirstEndpointReturns(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/read/x"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			f.send = func(_ int, _ context.Context, d *Dispatch) (*Reply, error) {
				f.gateway.opts.Tracker.PauseStated(time.Now(), d.Endpoint, 4*time.Second)
				return rejectedReply(), nil
			}
			f.gateway.opts.Tracker.PauseStated(time.Now(), f.endpoints.Get("p1"), 4*time.Second)
			w := f.serve(path, "Prompt", "50")
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(w.Body.String(), codeRejected))
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= 4 && after <= 8)
		})
	}
}

// What an endpoint says of its return is meant for this host: other endpoints may be free.
func TestRetryAfterOfEndpointIsNotPassedOn(t *testing.T) {
	for _, paused := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).configure()
			f.send = func(_ int, _ context.Context, d *Dispatch) (*Reply, error) {
				r := newReply(http.StatusServiceUnavailable, "busy")
				r.Header.Set("Retry-After", "77")
				f.gateway.opts.Tracker.PauseStated(time.Now(), d.Endpoint, 77*time.Second)
				return r, nil
			}
			if paused {
				f.pauseAll("app", 2*time.Second)
				time.Sleep(1999 * time.Millisecond)
				f.gateway.opts.Tracker.PauseStated(time.Now(), f.endpoints.Get("a2"), 5*time.Second)
				f.gateway.opts.Tracker.PauseStated(time.Now(), f.endpoints.Get("a3"), 6*time.Second)
				time.Sleep(time.Millisecond)
			}
			w := f.serve("/once/x")
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(w.Body.String(), "busy")
			if !paused {
				is.Equal(w.Header().Get("Retry-After"), "")
				return
			}
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 4.9 && after <= 10)
		})
	}
}

// Guards against calls that free caches at an engine that wants nothing.
func TestCacheOfPausedEngineIsNotFreed(t *testing.T) {
	for _, paused := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, prefill, _ := newRateFixture(t)
			f.gateway.opts.Ingress = segmentIngress{}
			released := new(releases)
			released.fixture, f.gateway.opts.Sender = f, released
			f.prefill = func(context.Context, *Dispatch) (Prefilled, error) {
				if paused {
					f.gateway.opts.Tracker.PauseStated(time.Now(), prefill, time.Second)
				}
				f.holdSegment(0xbeef)
				return Prefilled{CacheSource: "cache"}, nil
			}
			is.Equal(f.serve("/stream/x", "Prompt", "5000", "Segments", "a beef b").Code, http.StatusServiceUnavailable)
			synctest.Wait()
			is.Equal(released.count == 0, paused)
		})
	}
}

// releases counts the calls that free caches.
type releases struct {
	*fixture
	count int
}

func (r *releases) Release(context.Context, *endpoint.Endpoint, Prefilled) error {
	r.count++
	return nil
}
