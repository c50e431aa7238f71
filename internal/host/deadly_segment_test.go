package host

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds of the users' rules.
const (
	contactTime    = 3 * time.Second
	countedCrashes = 5
	maxLateSends   = 3
)

// deadlySeeds is 3 or more in runs by hand. With the race detector one play of 100 hosts
// takes minutes.
var deadlySeeds = flag.Uint64("deadly.seeds", 1, "number of seeds of each play with engines that crash")

const (
	commonSegment = 1
	deadlySegment = 2
	firstSubject  = 100
)

// callerCounts counts what callers of sound requests got.
type callerCounts struct {
	mu                     sync.Mutex
	sent, served, heldBack int
}

func (c *callerCounts) add(status int, code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if status == http.StatusOK {
		c.served++
	}
	if code == "segment_held" {
		c.heldBack++
	}
}

func (c *callerCounts) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served) / float64(max(1, c.sent))
}

// Requests with a segment that crashes the engines that begin to answer them come at any
// host, with the first segment and the subjects of sound requests. The fleet stops to
// send them, and the sound ones are served.
func TestDeadlySegmentIsHeldBack(t *testing.T) {
	for _, size := range []struct {
		hosts, domains, prefill, decode int
		trouble, cold                   bool
	}{
		{5, 3, 4, 3, false, false},
		{30, 3, 8, 10, false, false},
		{100, 5, 20, 30, false, false},
		{5, 3, 4, 3, true, false},
		{30, 3, 8, 10, true, false},
		{5, 3, 4, 3, false, true},
		{30, 3, 8, 10, true, true},
	} {
		for seed := range *deadlySeeds {
			t.Run(fmt.Sprintf("%d hosts, trouble %v, cold %v, seed %d", size.hosts, size.trouble, size.cold, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newEngineFleet(t, size.hosts, size.domains, size.prefill, size.decode)
					f.deadly[deadlySegment] = true
					time.Sleep(settlingTime)
					var before, after callerCounts
					rate := 8 * float64(size.decode)
					if size.cold {
						before.add(http.StatusOK, "") // nothing has been answered before
					} else {
						f.play(seed, 4*time.Second, rate, 0, &before)
					}
					var trouble sync.WaitGroup
					if size.trouble {
						trouble.Go(func() { f.troubleHosts(rand.New(rand.NewPCG(seed, 7))) }) //nolint:gosec // a fixed seed
					}
					f.play(seed+100, 12*time.Second, rate, 4, nil)
					trouble.Wait()
					late := f.lateArrivals()
					f.play(seed+200, 12*time.Second, rate, 4, &after)
					late = max(late, f.lateArrivals())
					t.Logf("%d crashes, %d requests sent late; served %.3f of the sound ones before, %.3f at the end", len(f.crashes), late, before.share(), after.share())
					if late > maxLateSends {
						t.Errorf("%d requests with the segment were sent %s after the crash number %d", late, contactTime, countedCrashes)
					}
					if after.share() < before.share()/2 {
						t.Errorf("%.3f of the sound requests are served, %.3f before", after.share(), before.share())
					}
					f.end()
				})
			})
		}
	}
}

// troubleHosts kills a host, separates others from their peers for a time while they
// serve, and adds hosts that know nothing.
func (f *engineFleet) troubleHosts(rng *rand.Rand) {
	for n := range 3 {
		time.Sleep(time.Duration(300+rng.IntN(900)) * time.Millisecond)
		hosts := f.live()
		if n == 0 {
			f.kill(hosts[rng.IntN(len(hosts))])
		}
		f.freeze(hosts[rng.IntN(len(hosts))], time.Duration(500+rng.IntN(1500))*time.Millisecond)
		f.start(fmt.Sprintf("new-%d", n), "domain-0", n)
		f.configure()
		f.register()
	}
}

// play sends sound requests, and deadly ones, at random hosts for a time; rates are a
// second.
func (f *engineFleet) play(seed uint64, d time.Duration, rate, deadlyRate float64, sound *callerCounts) {
	rng := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // a fixed seed
	var requests sync.WaitGroup
	end := time.Now().Add(d)
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / (rate + deadlyRate)))
		if time.Now().After(end) {
			break
		}
		hosts := f.live()
		x := hosts[rng.IntN(len(hosts))]
		subject := firstSubject + uint64(rng.ExpFloat64()*10) //nolint:gosec // not negative
		own := rng.Uint64()
		if rng.Float64() < deadlyRate/(rate+deadlyRate) {
			requests.Go(func() { f.request(x, commonSegment, subject, deadlySegment, own) })
			continue
		}
		requests.Go(func() {
			status, code := f.request(x, commonSegment, subject, own)
			if sound != nil {
				sound.add(status, code)
			}
		})
	}
	requests.Wait()
}

// lateArrivals returns the number of requests with a deadly segment that reached engines
// later than contactTime after the fifth crash.
func (f *engineFleet) lateArrivals() int {
	f.engineMu.Lock()
	defer f.engineMu.Unlock()
	if len(f.crashes) < countedCrashes {
		return 0
	}
	late := 0
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[countedCrashes-1]) > contactTime {
			late++
		}
	}
	return late
}

// Engines end for other reasons: many at once, one after the other, before any request is
// answered. Hardly any request is held back; the bound is that of the users' rule on
// proper requests that are refused.
func TestCrashesOfOtherCausesHoldNothingBack(t *testing.T) {
	for name, kill := range map[string]func(f *engineFleet, rng *rand.Rand){
		"a third at once": func(f *engineFleet, rng *rand.Rand) {
			for range 5 {
				f.killSome(rng, 0.33)
				time.Sleep(3 * time.Second)
			}
		},
		"one after the other": func(f *engineFleet, rng *rand.Rand) {
			for range 40 {
				f.killSome(rng, 0)
				time.Sleep(400 * time.Millisecond)
			}
		},
		"all of them": func(f *engineFleet, rng *rand.Rand) {
			f.killSome(rng, 1)
			time.Sleep(9 * time.Second)
			f.killSome(rng, 1)
			time.Sleep(9 * time.Second)
		},
	} {
		for seed := range 2 * *deadlySeeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newEngineFleet(t, 12, 3, 6, 8)
					time.Sleep(settlingTime)
					var sound callerCounts
					var killer sync.WaitGroup
					killer.Go(func() { kill(f, rand.New(rand.NewPCG(seed, 6))) }) //nolint:gosec // a fixed seed
					f.play(seed, 20*time.Second, 64, 0, &sound)
					killer.Wait()
					t.Logf("%d sent, %.3f served, %d held back", sound.sent, sound.share(), sound.heldBack)
					if sound.heldBack > 5+sound.sent/500 {
						t.Errorf("%d of %d requests are held back", sound.heldBack, sound.sent)
					}
					f.end()
				})
			})
		}
	}
}
