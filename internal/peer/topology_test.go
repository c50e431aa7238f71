package peer

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newEntries returns the entries of hosts in the given number of domains. Each third
// host is capable.
func newEntries(hosts, domains int) map[string]Entry {
	entries := make(map[string]Entry, hosts)
	for i := range hosts {
		e := Entry{Host: fmt.Sprintf("h%03d", i), Domain: fmt.Sprintf("d%d", i%domains), Capacity: 0.144}
		if i%3 == 0 {
			e.Capacity = 0.8
		}
		entries[e.Host] = e
	}
	return entries
}

func TestSmallDeploymentIsMesh(t *testing.T) {
	is := is.New(t)
	entries := newEntries(5, 4)
	for _, self := range entries {
		topology := newTopology(self, entries)
		is.True(topology.Delegate)
		is.Equal(len(topology.Delegates), 4)
	}
}

// All hosts agree on the delegates, each domain has some, and their members spread over
// them.
func TestHostsAgreeOnDelegates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(rt, "domains")
		hosts := rapid.IntRange(meshHosts+1, 150).Draw(rt, "hosts")
		entries := newEntries(hosts, domains)
		delegates := make(map[string]bool)
		for _, self := range entries {
			if newTopology(self, entries).Delegate {
				delegates[self.Host] = true
			}
		}
		perDomain, members := make(map[string]int), make(map[string]int)
		for name := range delegates {
			perDomain[entries[name].Domain]++
		}
		for _, self := range entries {
			topology := newTopology(self, entries)
			for name := range topology.Delegates {
				if !delegates[name] {
					rt.Fatalf("%s takes %s for a delegate, which is none", self.Host, name)
				}
			}
			known := len(topology.Delegates)
			if topology.Delegate {
				known++
			} else {
				home := topology.Homes[0]
				members[home]++
				if entries[home].Domain != self.Domain {
					rt.Fatalf("%s has its home in another domain", self.Host)
				}
			}
			if known != len(delegates) {
				rt.Fatalf("%s knows %d of %d delegates", self.Host, known, len(delegates))
			}
		}
		for i := range min(domains, hosts) {
			domain := fmt.Sprintf("d%d", i)
			if inDomain := (hosts + domains - 1 - i) / domains; perDomain[domain] < min(minDelegates, inDomain) {
				rt.Fatalf("domain %s has %d delegates", domain, perDomain[domain])
			}
		}
		for name, count := range members {
			if count > 6*membersPerDelegate {
				rt.Fatalf("%s is the home of %d members", name, count)
			}
		}
	})
}

// The loss of a host changes no choice but its own.
func TestLossOfHostChangesFewDelegates(t *testing.T) {
	is := is.New(t)
	entries := newEntries(100, 5)
	self := entries["h007"]
	before := newTopology(self, entries)
	for name := range before.Delegates {
		rest := newEntries(100, 5)
		delete(rest, name)
		after := newTopology(self, rest)
		kept := 0
		for other := range after.Delegates {
			if _, ok := before.Delegates[other]; ok {
				kept++
			}
		}
		is.Equal(kept, len(before.Delegates)-1)
	}
}

// Delegates are mostly the capable hosts.
func TestCapableHostsAreDelegates(t *testing.T) {
	is := is.New(t)
	entries := newEntries(300, 5)
	topology := newTopology(Entry{Host: "x", Domain: "d0"}, entries)
	capable := 0
	for _, e := range topology.Delegates {
		if e.Capacity > 0.5 {
			capable++
		}
	}
	is.True(math.Abs(float64(capable-len(topology.Delegates))) <= 0.2*float64(len(topology.Delegates)))
}
