package snapshot

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/verdict"
)

// warmUp is how long a fleet takes to choose its voters.
const warmUp = 20 * time.Second

// inFleet runs a case on five hosts in three domains, with the promises
// checked all the time.
func inFleet(t *testing.T, run func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5, 3, flaws{})
		f.start()
		ctx, cancel := context.WithCancel(t.Context())
		go f.watch(ctx)
		time.Sleep(warmUp)
		is.Equal(len(f.hosts[0].holder.Current().Voters().Hosts), 5)
		run(is, f)
		cancel()
		f.stopAll()
		violations, _ := f.result()
		is.Equal(violations, nil)
	})
}

// freshness samples the hosts for d and returns the share of samples in which
// each one was fresh. It leaves the highest age in oldest.
func (f *fleet) freshness(d time.Duration) map[string]float64 {
	const step = 100 * time.Millisecond
	count := map[string]float64{}
	f.oldest = 0
	samples := int(d / step)
	for range samples {
		for _, n := range f.hosts {
			if n.holder.Fresh(time.Now()) {
				count[n.name]++
			}
			if age, ok := n.holder.Age(); ok {
				f.oldest = max(f.oldest, age)
			}
		}
		time.Sleep(step)
	}
	for name := range count {
		count[name] /= float64(samples)
	}
	return count
}

func (f *fleet) expectFresh(is *is.I, share map[string]float64, want float64, hosts ...int) {
	is.Helper()
	for _, i := range hosts {
		is.Equal(share[f.hosts[i].name], want)
	}
}

func TestStoreDownForAll(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.store.SetDown(true)
		f.expectFresh(is, f.freshness(3*time.Minute), 1, 0, 1, 2, 3, 4)
		_, err := f.change(f.hosts[0], addWorkspace("w", 0))
		is.True(errors.Is(err, backing.ErrUnavailable))
		f.store.SetDown(false)
		o, err := f.change(f.hosts[0], addWorkspace("w", 0))
		is.NoErr(err)
		is.True(o.Accepted)
	})
}

func TestStoreSilentForAll(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.store.SetSilent(true)
		f.expectFresh(is, f.freshness(3*time.Minute), 1, 0, 1, 2, 3, 4)
		f.store.SetSilent(false)
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 3, 4)
	})
}

func TestOneHostWithoutStore(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.store.Client(f.hosts[2].name).SetSilent(true)
		o, err := f.change(f.hosts[0], addWorkspace("w", 0))
		is.NoErr(err)
		is.True(o.Accepted)
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 3, 4)
		is.Equal(f.hosts[2].holder.Current().Revision(), o.Revision)
	})
}

// cutOff separates the hosts from the others and, if asked, from the store.
func (f *fleet) cutOff(store bool, hosts ...int) {
	side := map[string]int{}
	for _, i := range hosts {
		side[f.hosts[i].name] = 1
		f.store.Client(f.hosts[i].name).SetSilent(store)
	}
	f.split(side)
}

func TestOneHostCutOffRefusesRevokedKeyWithinFiveSeconds(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		_, err := f.change(f.hosts[0], func(*View) (Change, error) {
			return Change{Items: []Item{item("workspace", "w", map[string]int{"rate_tokens": 1}), keyItem("k", "w", "aa", false)}}, nil
		})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		f.cutOff(true, 3)
		asked := time.Now()
		o, err := f.change(f.hosts[0], func(*View) (Change, error) {
			return Change{Items: []Item{keyItem("k", "w", "aa", true)}}, nil
		})
		is.NoErr(err)
		is.True(o.Accepted)
		time.Sleep(time.Until(asked.Add(5 * time.Second)))
		for _, n := range f.hosts {
			v, err := n.holder.Use()
			if err != nil {
				is.Equal(n, f.hosts[3])
				is.Equal(verdict.Of(err), verdict.NotRun)
				continue
			}
			_, ok := v.KeyOwner("aa")
			is.True(!ok)
		}
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 4)
		f.cutOff(false)
		f.store.Client(f.hosts[3].name).SetSilent(false)
		time.Sleep(3 * time.Second)
		is.Equal(f.hosts[3].holder.Current().Revision(), o.Revision)
		f.expectFresh(is, f.freshness(time.Minute), 1, 3)
	})
}

func TestMinorityCutOffStops(t *testing.T) {
	t.Parallel()
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("storeDown=%t", storeDown), func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(is *is.I, f *fleet) {
				f.store.SetDown(storeDown)
				f.cutOff(true, 1, 4)
				time.Sleep(FreshFor)
				share := f.freshness(time.Minute)
				f.expectFresh(is, share, 1, 0, 2, 3)
				f.expectFresh(is, share, 0, 1, 4)
			})
		})
	}
}

// The majority goes on by its own word; the minority that has the store goes
// on too, and its changes wait, stored but not accepted, until the sides meet.
func TestMajorityWithoutStore(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.cutOff(true, 0, 1, 2)
		o, err := f.change(f.hosts[3], addWorkspace("w", 0))
		is.NoErr(err)
		is.True(o.Changed)
		is.True(!o.Accepted)
		is.True(!f.hosts[3].holder.Spread(f.t.Context(), o.Revision).InForce)
		time.Sleep(FreshFor)
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 3, 4)
		f.cutOff(false)
		time.Sleep(5 * time.Second)
		is.True(f.hosts[3].holder.Spread(f.t.Context(), o.Revision).Accepted)
		for _, n := range f.hosts {
			is.True(n.holder.Current().Revision() >= o.Revision)
		}
	})
}

func TestHostStartedDuringOutageLearnsFromPeers(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		for i := range 10 {
			_, err := f.change(f.hosts[0], addWorkspace(fmt.Sprint("w", i), 60000))
			is.NoErr(err)
		}
		f.store.SetSilent(true)
		time.Sleep(time.Minute)
		f.restart(f.hosts[1])
		is.True(!f.hosts[1].holder.Fresh(time.Now()))
		time.Sleep(5 * time.Second)
		is.Equal(f.hosts[1].holder.Current().Count("workspace"), 10)
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 3, 4)
		is.True(f.hosts[1].holder.qualified.Load())
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		o, err := f.change(f.hosts[0], addWorkspace("w", 0))
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		s := f.hosts[4].holder.Spread(f.t.Context(), o.Revision)
		is.True(s.InForce)
		f.cutOff(true, 2)
		o, err = f.change(f.hosts[0], addWorkspace("x", 0))
		is.NoErr(err)
		time.Sleep(time.Second)
		s = f.hosts[0].holder.Spread(f.t.Context(), o.Revision)
		is.True(!s.InForce)
		is.Equal(s.Waiting, []string{f.hosts[2].name})
		time.Sleep(FreshFor)
		is.True(f.hosts[0].holder.Spread(f.t.Context(), o.Revision).InForce)
	})
}

func TestSuspendedHostIsNotFresh(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	boot := time.Hour
	h := NewHolder(HolderOptions{Host: "h", Clock: Clock{Boot: func() time.Duration { return boot }}})
	is.True(h.confirm(h.o.Clock.now(), 0))
	is.True(h.Fresh(time.Now()))
	boot += FreshFor // The monotonic clock stood still meanwhile.
	is.True(!h.Fresh(time.Now()))
	_, err := h.Use()
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestOlderViewIsNotInstalled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := NewHolder(HolderOptions{Host: "h"})
	first := apply(is, Empty(), item("workspace", "w", map[string]int{"rate_tokens": 1}))
	second := apply(is, first, item("workspace", "x", map[string]int{"rate_tokens": 1}))
	h.install(Step{View: second})
	h.install(Step{View: first})
	is.Equal(h.Current(), second)
	is.True(!h.confirm(h.o.Clock.now(), 3)) // Nothing is confirmed that is not held.
	is.True(!h.Fresh(time.Now()))
}

func TestLostMajorityIsMendedAtOperatorsWord(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		for _, i := range []int{1, 2, 3} {
			f.hosts[i].stop()
			f.unlist(f.hosts[i], true)
		}
		f.cutOff(true, 1, 2, 3)
		o, err := f.change(f.hosts[0], addWorkspace("w", 0))
		is.NoErr(err)
		is.True(!o.Accepted)
		is.Equal(f.hosts[0].holder.Spread(f.t.Context(), o.Revision).Waiting, []string{f.hosts[1].name, f.hosts[2].name, f.hosts[3].name})
		o, err = f.hosts[0].holder.ReplaceVoters(f.t.Context(), []string{f.hosts[1].name, f.hosts[2].name, f.hosts[3].name})
		is.NoErr(err)
		is.True(o.Accepted)
		_, err = f.hosts[0].holder.ReplaceVoters(f.t.Context(), []string{f.hosts[1].name})
		is.Equal(err, ErrVoters)
	})
}

func TestGoneVoterIsReplaced(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.unlist(f.hosts[2], true)
		time.Sleep(15 * time.Second)
		voters := f.hosts[0].holder.Current().Voters()
		is.Equal(len(voters.Hosts), 3)
		is.True(!voters.Has(f.hosts[2].name))
		f.unlist(f.hosts[2], false)
		time.Sleep(15 * time.Second)
		is.Equal(len(f.hosts[0].holder.Current().Voters().All()), 5)
	})
}

// One change that is larger than a message and a segment reaches every host by
// pages, from the store and from peers.
func TestBulkChangeReachesAllHostsByPages(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 14, 1, flaws{})
		f.start()
		time.Sleep(warmUp)
		var items []Item
		for i := range 8000 {
			items = append(items, item("workspace", fmt.Sprintf("w%05d", i), map[string]any{"rate_tokens": i}))
		}
		o, err := f.change(f.hosts[0], func(*View) (Change, error) { return Change{Items: items}, nil })
		is.NoErr(err)
		is.True(o.Accepted)
		time.Sleep(3 * time.Second)
		for _, n := range f.hosts {
			is.Equal(n.holder.Current().Count("workspace"), 8000)
			is.True(n.holder.Fresh(time.Now()))
		}
		f.stopAll()
	})
}

func TestLeavingHostHandsOverItsPart(t *testing.T) {
	t.Parallel()
	inFleet(t, func(is *is.I, f *fleet) {
		f.mu.Lock()
		f.leaving = f.hosts[2]
		f.mu.Unlock()
		time.Sleep(15 * time.Second)
		is.True(!f.hosts[0].holder.Current().Voters().Has(f.hosts[2].name))
		s := f.hosts[2].holder.State()
		is.True(s.Fresh) // It goes on serving, with its peers' word.
		is.True(!s.Reader)
		f.store.SetSilent(true)
		f.expectFresh(is, f.freshness(time.Minute), 1, 0, 1, 2, 3, 4)
	})
}
