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

// traffic is what hosts send to each other, a second.
type traffic struct {
	meanBytes, maxBytes       float64
	meanMessages, maxMessages float64
}

func (t traffic) String() string {
	return fmt.Sprintf("bytes/s mean=%.0f max=%.0f messages/s mean=%.1f max=%.1f", t.meanBytes, t.maxBytes, t.meanMessages, t.maxMessages)
}

// spreadFigures are what a fleet of one size costs and how fast it is.
type spreadFigures struct {
	// reads and writes are the store's calls a minute without changes.
	reads, writes int64
	normal        traffic
	// everywhere is the longest time from a change's request until each host
	// holds it, over several changes.
	everywhere time.Duration
	// outage is the traffic while the store is down for all, and outageFresh
	// the share of the time in which the worst host is fresh then.
	outage      traffic
	outageFresh float64
	// oldest and outageOldest are the highest ages of any host.
	oldest, outageOldest time.Duration
}

func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sent)
	clear(f.messages)
}

func (f *fleet) traffic(d time.Duration) (t traffic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := float64(len(f.hosts))
	for _, n := range f.hosts {
		bytes, messages := float64(f.sent[n.name])/d.Seconds(), float64(f.messages[n.name])/d.Seconds()
		t.meanBytes += bytes / hosts
		t.meanMessages += messages / hosts
		t.maxBytes, t.maxMessages = max(t.maxBytes, bytes), max(t.maxMessages, messages)
	}
	return t
}

// untilEverywhere makes a change and returns how long it takes until each host
// holds it.
func (f *fleet) untilEverywhere(is *is.I, name string) time.Duration {
	is.Helper()
	begin := time.Now()
	o, err := f.change(f.hosts[0], addWorkspace(name, 0))
	is.NoErr(err)
	is.True(o.Accepted)
	for _, n := range f.hosts {
		for n.holder.Current().Revision() < o.Revision {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

func measureSpread(t *testing.T, hosts, domains int) (s spreadFigures) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, hosts, domains, flaws{})
		f.delay = *peerDelay
		f.start()
		time.Sleep(warmUp)
		f.resetCounts()
		before := f.store.Counts()
		f.freshness(time.Minute)
		s.oldest = f.oldest
		after := f.store.Counts()
		s.reads, s.writes = after.Reads()-before.Reads(), after.Writes()-before.Writes()
		s.normal = f.traffic(time.Minute)
		for i := range 5 {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			s.everywhere = max(s.everywhere, f.untilEverywhere(is, fmt.Sprint("w", i)))
		}
		f.store.SetSilent(true)
		f.resetCounts()
		s.outageFresh = 1
		for _, share := range f.freshness(time.Minute) {
			s.outageFresh = min(s.outageFresh, share)
		}
		s.outageOldest = f.oldest
		s.outage = f.traffic(time.Minute)
		f.stopAll()
	})
	return s
}

// peerDelay is the one-way delay between hosts in TestSpreadFigures.
var peerDelay = flag.Duration("delay", linkDelay, "one-way delay between hosts")

// extraHosts adds a fleet of that size in 14 domains to TestSpreadFigures.
var extraHosts = flag.Int("hosts", 0, "measure the spread in a fleet of this many hosts too")

// TestSpreadFigures prints the figures of docs/design/snapshot.md and holds
// them to the targets: a quarter of the store's reads, and a change on all
// hosts within 3 s or 13 s.
func TestSpreadFigures(t *testing.T) {
	t.Parallel()
	const readsPerMinute = 2000 * 60 / 4
	sizes := []struct {
		hosts, domains int
		everywhere     time.Duration
	}{{4, 3, 3 * time.Second}, {16, 4, 3 * time.Second}, {50, 4, 13 * time.Second}}
	if *extraHosts > 0 {
		sizes = append(sizes, sizes[0])
		last := &sizes[len(sizes)-1]
		last.hosts, last.domains, last.everywhere = *extraHosts, 14, 13*time.Second
	}
	for _, size := range sizes {
		is := is.New(t)
		s := measureSpread(t, size.hosts, size.domains)
		t.Logf("hosts=%d domains=%d reads/min=%d writes/min=%d everywhere=%s", size.hosts, size.domains, s.reads, s.writes, s.everywhere)
		t.Logf("  normal: %s oldest=%s", s.normal, s.oldest)
		t.Logf("  outage: %s oldest=%s fresh=%.3f", s.outage, s.outageOldest, s.outageFresh)
		is.True(s.reads < readsPerMinute)
		is.True(s.everywhere < size.everywhere)
		is.Equal(s.outageFresh, 1.0)
	}
}

// fullView returns a view of n workspaces with a key each, in one change.
func fullView(n int) *View {
	var items []Item
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		items = append(items,
			item("workspace", name, map[string]any{"rate_tokens": 1000 + i, "burst_tokens": 20000, "models": []string{"small", "large"}}),
			keyItem(fmt.Sprintf("key-%05d", i), name, hashOf(i), false))
	}
	v, err := Empty().Apply(Change{Revision: 1, Items: items})
	if err != nil {
		panic(err)
	}
	return v
}

// hashOf is the hash of the numbered key; like a real one, it does not compress.
func hashOf(i int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(i)))
	return hex.EncodeToString(sum[:])
}

var sizes = []int{1000, 7000, 14000, 28000}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := fullView(n)
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
	v := fullView(28000)
	hash := hashOf(27000)
	for b.Loop() {
		if _, ok := v.KeyOwner(hash); !ok {
			b.Fatal("not found")
		}
	}
}

// BenchmarkPages writes and loads a whole snapshot.
func BenchmarkPages(b *testing.B) {
	for _, n := range sizes {
		v := fullView(n)
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

// BenchmarkMemory reports the heap that a loaded view keeps.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pages, err := encodePages(fullView(n))
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

// BenchmarkUse is the check on each request.
func BenchmarkUse(b *testing.B) {
	h := NewHolder(HolderOptions{Host: "h"})
	h.confirm(h.o.Clock.now().minus(-time.Hour), 0)
	for b.Loop() {
		if _, err := h.Use(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkExchange answers a question of a peer that has all changes.
func BenchmarkExchange(b *testing.B) {
	h := NewHolder(HolderOptions{Host: "h"})
	h.confirm(h.o.Clock.now(), 0)
	part := h.statement()
	for b.Loop() {
		h.HandleExchange(part)
	}
}

// BenchmarkDuties decides a host's part in a fleet of 370 hosts, once a round.
func BenchmarkDuties(b *testing.B) {
	f := newFleet(nil, 370, 14, flaws{})
	live := f.directory()
	voters := VoterList{Hosts: chooseVoters(nil, live)}
	for b.Loop() {
		dutiesOf("host-017", "domain-03", live, voters)
	}
}

// BenchmarkAppend accepts one change in a log of 28,000 workspaces, folds
// included, and reports the store's calls.
func BenchmarkAppend(b *testing.B) {
	store := kv.New(kv.Options{})
	l := newTestLog(store)
	full := fullView(28000)
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
