package snapshot

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is one drawn event of a run.
type step struct {
	kind string
	host int
	// mask chooses hosts for a partition.
	mask int
	wait time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%s host=%d mask=%05b wait=%s", s.kind, s.host, s.mask, s.wait)
}

// runSteps runs the events on five hosts and returns what was violated.
func runSteps(t *testing.T, f flaws, steps []step) (violations []string, accepted int) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 5, 3, f)
		fl.start()
		ctx, cancel := context.WithCancel(t.Context())
		go fl.watch(ctx)
		time.Sleep(warmUp)
		for i, s := range steps {
			fl.apply(s, i)
			time.Sleep(s.wait)
		}
		time.Sleep(2 * FreshFor)
		cancel()
		fl.stopAll()
		violations, accepted = fl.result()
	})
	return violations, accepted
}

// apply causes one event. Changes run on their own.
func (f *fleet) apply(s step, index int) {
	n := f.hosts[s.host]
	client := f.store.Client(n.name)
	switch s.kind {
	case "change":
		go func() { _, _ = f.change(n, addWorkspace(fmt.Sprint("w", index), 0)) }()
	case "store down":
		f.store.SetSilent(true)
	case "store up":
		f.store.SetSilent(false)
	case "lose answers":
		f.store.LoseNext(3)
	case "cut host from store":
		client.SetSilent(true)
	case "join host to store":
		client.SetSilent(false)
	case "split":
		side := map[string]int{}
		for i, n := range f.hosts {
			side[n.name] = s.mask >> i & 1
		}
		f.split(side)
	case "heal":
		f.split(nil)
	case "isolate":
		// One side of the partition has no store either.
		f.apply(step{kind: "split", mask: s.mask}, index)
		for i, n := range f.hosts {
			f.store.Client(n.name).SetSilent(s.mask>>i&1 == 1)
		}
	case "heal all":
		f.split(nil)
		f.store.SetSilent(false)
		for _, n := range f.hosts {
			f.store.Client(n.name).SetSilent(false)
		}
	case "restart group":
		for i, n := range f.hosts {
			if s.mask>>i&1 == 1 {
				f.restart(n)
			}
		}
	case "pause":
		f.pause(n, s.wait*4)
	case "unlist":
		f.unlist(n, true)
	case "list":
		f.unlist(n, false)
	case "restart":
		f.restart(n)
	}
}

func drawSteps(rt *rapid.T) []step {
	kinds := []string{
		"change", "change", "change", "change", "store down", "store down", "store up", "lose answers",
		"cut host from store", "join host to store", "split", "split", "heal", "isolate", "isolate", "heal all",
		"pause", "restart", "restart group", "unlist", "list",
	}
	waits := []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 1300 * time.Millisecond, 4 * time.Second, 4 * time.Second, 11 * time.Second}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			host: rapid.IntRange(0, 4).Draw(rt, "host"),
			mask: rapid.IntRange(1, 30).Draw(rt, "mask"),
			wait: rapid.SampledFrom(waits).Draw(rt, "wait"),
		}
	}), 10, 40).Draw(rt, "steps")
}

// No host that is fresh misses a change accepted more than FreshFor ago, and
// no host goes back, under outages, partitions, pauses, restarts, lost answers
// and changes of the voters.
func TestFreshHostsMissNoAcceptedChange(t *testing.T) {
	t.Parallel()
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		violations, accepted := runSteps(t, flaws{}, drawSteps(rt))
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(violations), violations[0])
		}
		total += accepted
	})
	if total == 0 {
		t.Fatal("no change was accepted in any run")
	}
	t.Logf("%d changes were accepted", total)
}

// The same checks notice each mechanism when it is broken.
func TestBrokenMechanismsAreNoticed(t *testing.T) {
	t.Parallel()
	const short, long = 30 * time.Millisecond, 4 * time.Second
	cases := []struct {
		name  string
		flaws flaws
		steps []step
	}{
		{
			// A host is stopped while its question is on the way. The answer
			// is from before the change and arrives as if it were new.
			name: "age from the answer", flaws: flaws{ageFromAnswer: true},
			steps: pauseDuringQuestion(),
		},
		{
			// The change is known to its writer alone when the store and the
			// writer go.
			name: "accepted without a majority", flaws: flaws{acceptAtCommit: true},
			steps: []step{
				{kind: "change", host: 0, wait: long},
				{kind: "split", mask: 1, wait: short},
				{kind: "cut host from store", host: 1},
				{kind: "cut host from store", host: 2},
				{kind: "cut host from store", host: 3},
				{kind: "cut host from store", host: 4, wait: short},
				{kind: "change", host: 0, wait: long},
				{kind: "store down", wait: 3 * long},
			},
		},
		{
			// Two hosts that hold the change start again, learn an older
			// configuration from two that missed it, and vouch for it.
			name: "vouching at once", flaws: flaws{vouchAtOnce: true},
			steps: []step{
				{kind: "cut host from store", host: 3},
				{kind: "cut host from store", host: 4},
				{kind: "split", mask: 0b11000, wait: long},
				{kind: "change", host: 0, wait: long},
				{kind: "store down", wait: short},
				{kind: "restart", host: 1},
				{kind: "restart", host: 2},
				{kind: "split", mask: 0b00001, wait: 3 * long},
			},
		},
		{
			// Three hosts are cut off together, two of them wrongly taken for
			// gone. They are a majority of the old list, and the others one of
			// the new.
			name: "replacing voters at once", flaws: flaws{replaceAtOnce: true},
			steps: []step{
				{kind: "change", host: 3, wait: long},
				{kind: "unlist", host: 0},
				{kind: "unlist", host: 1},
				{kind: "isolate", mask: 0b00111, wait: 6 * long},
				{kind: "change", host: 3, wait: 2 * long},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if violations, accepted := runSteps(t, flaws{}, c.steps); len(violations) > 0 || accepted == 0 {
				t.Fatalf("the sound one: %d accepted, violations %v", accepted, violations)
			}
			if violations, _ := runSteps(t, c.flaws, c.steps); len(violations) == 0 {
				t.Fatal("the broken one was not noticed")
			}
		})
	}
}

// pauseDuringQuestion stops each host in turn for a time that spans changes.
func pauseDuringQuestion() []step {
	var steps []step
	for range 8 {
		for host := 1; host < 5; host++ {
			steps = append(steps,
				step{kind: "pause", host: host, wait: 1300 * time.Millisecond},
				step{kind: "change", host: 0, wait: 4 * time.Second})
		}
	}
	return steps
}
