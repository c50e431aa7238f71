package snapshot

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// event is one generated event of a run.
type event struct {
	kind string
	host int
	// mask selects hosts by index for a partition or a group restart.
	mask int
	wait time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%s host=%d mask=%05b wait=%s", e.kind, e.host, e.mask, e.wait)
}

// runEvents applies the events to a fleet of five hosts and returns the violated
// invariants and the number of accepted changes.
func runEvents(t *testing.T, faults injectedFaults, events []event) (violations []string, accepted int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 3, faults)
		f.start()
		ctx, cancel := context.WithCancel(t.Context())
		go f.watchInvariants(ctx)
		time.Sleep(warmUp)
		for i, ev := range events {
			f.applyEvent(ev, i)
			time.Sleep(ev.wait)
		}
		time.Sleep(2 * FreshFor)
		cancel()
		f.stopAll()
		violations, accepted = f.result()
	})
	return violations, accepted
}

// applyEvent applies one event. Changes run in their own goroutines.
func (f *fleet) applyEvent(ev event, index int) {
	host := f.hosts[ev.host]
	client := f.store.Client(host.name)
	switch ev.kind {
	case "change":
		go func() { _, _ = f.change(host, addWorkspace(fmt.Sprint("w", index), 0)) }()
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
		for i, host := range f.hosts {
			side[host.name] = ev.mask >> i & 1
		}
		f.partition(side)
	case "heal":
		f.partition(nil)
	case "isolate":
		// One side of the partition is disconnected from the store too.
		f.applyEvent(event{kind: "split", mask: ev.mask}, index)
		for i, host := range f.hosts {
			f.store.Client(host.name).SetSilent(ev.mask>>i&1 == 1)
		}
	case "heal all":
		f.partition(nil)
		f.store.SetSilent(false)
		for _, host := range f.hosts {
			f.store.Client(host.name).SetSilent(false)
		}
	case "restart group":
		for i, host := range f.hosts {
			if ev.mask>>i&1 == 1 {
				f.restart(host)
			}
		}
	case "pause":
		f.pause(host, ev.wait*4)
	case "pause in query":
		f.pauseInQuery(host, ev.wait*4)
	case "unlist":
		f.setUnlisted(host, true)
	case "list":
		f.setUnlisted(host, false)
	case "restart":
		f.restart(host)
	}
}

func drawEvents(rt *rapid.T) []event {
	kinds := []string{
		"change", "change", "change", "change", "store down", "store down", "store up", "lose answers",
		"cut host from store", "join host to store", "split", "split", "heal", "isolate", "isolate", "heal all",
		"pause", "restart", "restart group", "unlist", "list",
	}
	waits := []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 1300 * time.Millisecond, 4 * time.Second, 4 * time.Second, 11 * time.Second}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			host: rapid.IntRange(0, 4).Draw(rt, "host"),
			mask: rapid.IntRange(1, 30).Draw(rt, "mask"),
			wait: rapid.SampledFrom(waits).Draw(rt, "wait"),
		}
	}), 10, 40).Draw(rt, "steps")
}

// A fresh host has every change accepted more than FreshFor ago, and the revision
// of a host never decreases, under outages, partitions, pauses, restarts, lost
// answers and replacements of the voters.
func TestFreshHostsHoldAcceptedChanges(t *testing.T) {
	t.Parallel()
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		violations, accepted := runEvents(t, injectedFaults{}, drawEvents(rt))
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

// The invariant checks detect the failure of each safety mechanism.
func TestInvariantChecksDetectInjectedFaults(t *testing.T) {
	t.Parallel()
	const short, long = 30 * time.Millisecond, 4 * time.Second
	cases := []struct {
		name   string
		faults injectedFaults
		events []event
	}{
		{
			// A host is paused while its request is in flight. The answer
			// predates the change, but its age is measured from its arrival.
			name: "age measured from the answer", faults: injectedFaults{ageFromArrival: true},
			events: pauseDuringQuery(),
		},
		{
			// Only the writer has the change when the store and the writer
			// become unreachable.
			name: "accepted without a majority", faults: injectedFaults{acceptWithoutMajority: true},
			events: []event{
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
			// Two hosts that have the change restart, load an older
			// configuration from two hosts that missed it, and confirm it.
			name: "confirmation without qualification", faults: injectedFaults{skipQualification: true},
			events: []event{
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
			// Three hosts are isolated together, and two of them are unlisted
			// although they run. The three are a majority of the old list, and
			// the other hosts are a majority of the new one.
			name: "replacement without joint voters", faults: injectedFaults{skipJointVoters: true},
			events: []event{
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
			if violations, accepted := runEvents(t, injectedFaults{}, c.events); len(violations) > 0 || accepted == 0 {
				t.Fatalf("without injected faults: %d changes accepted, violations %v", accepted, violations)
			}
			if violations, _ := runEvents(t, c.faults, c.events); len(violations) == 0 {
				t.Fatal("the injected fault was not detected")
			}
		})
	}
}

// pauseDuringQuery returns events that pause each host except the first in turn,
// each with the answer to one of its queries in flight, while changes are made.
func pauseDuringQuery() []event {
	var events []event
	for range 8 {
		for host := 1; host < 5; host++ {
			events = append(events,
				event{kind: "pause in query", host: host, wait: 1300 * time.Millisecond},
				event{kind: "change", host: 0, wait: 4 * time.Second})
		}
	}
	return events
}
