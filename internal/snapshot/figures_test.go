package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// traffic is the rate at which hosts send to each other, per second, as the mean
// and the maximum over the hosts.
type traffic struct {
	meanBytes, maxBytes       float64
	meanMessages, maxMessages float64
}

func (t traffic) String() string {
	return fmt.Sprintf("bytes/s mean=%.0f max=%.0f messages/s mean=%.1f max=%.1f", t.meanBytes, t.maxBytes, t.meanMessages, t.maxMessages)
}

// propagationFigures are the measurements of a fleet of one size.
type propagationFigures struct {
	// reads and writes are the store calls per minute without changes.
	reads, writes int64
	// normal is the traffic without changes while the store is up.
	normal traffic
	// propagation is the longest time from the request of a change until every
	// host has it, over several changes.
	propagation time.Duration
	// outage is the traffic while the store is silent for all hosts.
	outage traffic
	// outageFresh is the smallest share of time that a host was fresh during the
	// outage.
	outageFresh float64
	// maxAge and outageMaxAge are the highest ages of any host, without and during
	// the outage.
	maxAge, outageMaxAge time.Duration
}

func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sentBytes)
	clear(f.sentMessages)
}

func (f *fleet) traffic(d time.Duration) (t traffic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := float64(len(f.hosts))
	for _, host := range f.hosts {
		bytes, messages := float64(f.sentBytes[host.name])/d.Seconds(), float64(f.sentMessages[host.name])/d.Seconds()
		t.meanBytes += bytes / hosts
		t.meanMessages += messages / hosts
		t.maxBytes, t.maxMessages = max(t.maxBytes, bytes), max(t.maxMessages, messages)
	}
	return t
}

// measurePropagation makes a change and returns the time until every host has it.
func (f *fleet) measurePropagation(is *is.I, name string) time.Duration {
	is.Helper()
	start := time.Now()
	outcome, err := f.change(f.hosts[0], addWorkspace(name, 0))
	is.NoErr(err)
	is.True(outcome.Accepted)
	for _, host := range f.hosts {
		for host.replica.Current().Revision() < outcome.Revision {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func measurePropagation(t *testing.T, hosts, domains int) (figures propagationFigures) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, hosts, domains, injectedFaults{})
		f.delay = *peerDelay
		f.start()
		time.Sleep(warmUp)
		f.resetCounts()
		before := f.store.Counts()
		f.sampleFreshness(time.Minute)
		figures.maxAge = f.maxAge
		after := f.store.Counts()
		figures.reads, figures.writes = after.Reads()-before.Reads(), after.Writes()-before.Writes()
		figures.normal = f.traffic(time.Minute)
		for i := range 5 {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			figures.propagation = max(figures.propagation, f.measurePropagation(is, fmt.Sprint("w", i)))
		}
		f.store.SetSilent(true)
		f.resetCounts()
		figures.outageFresh = 1
		for _, share := range f.sampleFreshness(time.Minute) {
			figures.outageFresh = min(figures.outageFresh, share)
		}
		figures.outageMaxAge = f.maxAge
		figures.outage = f.traffic(time.Minute)
		f.stopAll()
	})
	return figures
}

// peerDelay is the one-way delay between hosts in TestSpreadFigures.
var peerDelay = flag.Duration("delay", linkDelay, "one-way delay between hosts")

// extraHosts is the size of an additional fleet in 14 domains for
// TestSpreadFigures; 0 for none.
var extraHosts = flag.Int("hosts", 0, "measure the propagation in a fleet of this many hosts too")

// TestSpreadFigures logs the figures of docs/design/snapshot.md and checks them
// against the targets: a quarter of the store's reads, and a change on all hosts
// within 3 s or 13 s, depending on the size of the fleet.
func TestSpreadFigures(t *testing.T) {
	t.Parallel()
	const readsPerMinute = 2000 * 60 / 4
	sizes := []struct {
		hosts, domains int
		maxPropagation time.Duration
	}{{4, 3, 3 * time.Second}, {16, 4, 3 * time.Second}, {50, 4, 13 * time.Second}}
	if *extraHosts > 0 {
		sizes = append(sizes, sizes[0])
		extra := &sizes[len(sizes)-1]
		extra.hosts, extra.domains, extra.maxPropagation = *extraHosts, 14, 13*time.Second
	}
	for _, size := range sizes {
		is := is.New(t)
		figures := measurePropagation(t, size.hosts, size.domains)
		t.Logf("hosts=%d domains=%d reads/min=%d writes/min=%d everywhere=%s", size.hosts, size.domains, figures.reads, figures.writes, figures.propagation)
		t.Logf("  normal: %s oldest=%s", figures.normal, figures.maxAge)
		t.Logf("  outage: %s oldest=%s fresh=%.3f", figures.outage, figures.outageMaxAge, figures.outageFresh)
		is.True(figures.reads < readsPerMinute)
		is.True(figures.propagation < size.maxPropagation)
		is.Equal(figures.outageFresh, 1.0)
	}
}

// newLargeView returns a view of n workspaces with one key each, written as one
// change.
func newLargeView(n int) *View {
	var items []Item
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		items = append(items,
			item("workspace", name, map[string]any{"rate_tokens": 1000 + i, "burst_tokens": 20000, "models": []string{"small", "large"}}),
			keyItem(fmt.Sprintf("key-%05d", i), name, keyHash(i), false))
	}
	v, err := Empty().Apply(Change{Revision: 1, Items: items})
	if err != nil {
		panic(err)
	}
	return v
}

// keyHash returns the hash of the i-th key. Like a real hash it is incompressible.
func keyHash(i int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(i)))
	return hex.EncodeToString(sum[:])
}

var sizes = []int{1000, 7000, 14000, 28000}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newLargeView(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("key-%05d", i%n)
				old, _ := v.Get("key", name)
				next, err := v.Apply(Change{Revision: v.Revision() + 1, Items: []Item{{Resource: old}}})
				if err != nil {
					b.Fatal(err)
				}
				v = next
			}
		})
	}
}

func BenchmarkKeyOwner(b *testing.B) {
	v := newLargeView(28000)
	hash := keyHash(27000)
	for b.Loop() {
		if _, ok := v.KeyOwner(hash); !ok {
			b.Fatal("not found")
		}
	}
}

// BenchmarkPages encodes and decodes a full snapshot.
func BenchmarkPages(b *testing.B) {
	for _, n := range sizes {
		v := newLargeView(n)
		pages, err := encodePages(v)
		if err != nil {
			b.Fatal(err)
		}
		total := 0
		for _, p := range pages {
			total += len(p)
		}
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := encodePages(v); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(total), "page-bytes")
			b.ReportMetric(float64(len(pages)), "pages")
		})
		b.Run(fmt.Sprintf("load/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := decodePages(pages); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a decoded view.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pages, err := encodePages(newLargeView(n))
			if err != nil {
				b.Fatal(err)
			}
			var perThousand float64
			for b.Loop() {
				before := heapInUse()
				v, err := decodePages(pages)
				if err != nil {
					b.Fatal(err)
				}
				perThousand = float64(heapInUse()-before) / float64(n) * 1000
				runtime.KeepAlive(v)
			}
			b.ReportMetric(perThousand, "heap-bytes/1000-workspaces")
		})
	}
}

// BenchmarkUse measures the freshness check of each request.
func BenchmarkUse(b *testing.B) {
	r := NewReplica(ReplicaOptions{Host: "h"})
	r.confirm(r.options.Clock.now().minus(-time.Hour), 0)
	for b.Loop() {
		if _, err := r.FreshView(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkExchange measures the answer to a peer that has all changes.
func BenchmarkExchange(b *testing.B) {
	r := NewReplica(ReplicaOptions{Host: "h"})
	r.confirm(r.options.Clock.now(), 0)
	part := r.localStatus()
	for b.Loop() {
		r.HandleExchange(part)
	}
}

// BenchmarkDuties measures the derivation of a host's role, done once per round, in
// a fleet of 370 hosts.
func BenchmarkDuties(b *testing.B) {
	f := newFleet(nil, 370, 14, injectedFaults{})
	live := f.directory()
	voters := VoterList{Hosts: chooseVoters(nil, live)}
	for b.Loop() {
		hostRoleOf("host-017", "domain-03", live, voters)
	}
}

// BenchmarkAppend appends changes to a log of 28,000 workspaces, including
// compactions, and reports the store calls per change.
func BenchmarkAppend(b *testing.B) {
	store := kv.New(kv.Options{})
	l := newTestLog(store)
	full := newLargeView(28000)
	s, _, err := l.Append(b.Context(), Empty(), func(*View) (Change, error) {
		c := Change{}
		for _, kind := range []resource.Kind{resource.KindWorkspace, resource.KindKey} {
			for _, r := range full.List(kind) {
				c.Items = append(c.Items, Item{Resource: r})
			}
		}
		return c, nil
	})
	if err != nil {
		b.Fatal(err)
	}
	before := store.Counts()
	v, changes := s.View, 0
	for b.Loop() {
		name := fmt.Sprintf("workspace-%05d", changes%28000)
		changes++
		s, _, err := l.Append(b.Context(), v, func(v *View) (Change, error) {
			r, _ := v.Get(resource.KindWorkspace, name)
			return Change{Items: []Item{{Resource: r}}}, nil
		})
		if err != nil {
			b.Fatal(err)
		}
		v = s.View
	}
	after := store.Counts()
	b.ReportMetric(float64(after.Writes()-before.Writes())/float64(changes), "writes/change")
	b.ReportMetric(float64(after.Reads()-before.Reads())/float64(changes), "reads/change")
}
