package peer

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshHosts is the number of hosts up to which all of them are delegates.
	meshHosts = 8
	// minDelegates is the least number of delegates of a failure domain, so that one
	// may fail.
	minDelegates = 2
	// membersPerDelegate bounds the average number of hosts of a domain for each of
	// its delegates.
	membersPerDelegate = 12
)

// Topology states which hosts exchange with which. Delegates exchange with all other
// delegates. Every other host is a member and exchanges with one delegate, its home,
// which reports for it to the others and reports the sum of the others to it. It is
// immutable.
type Topology struct {
	// Delegate reports whether this host is a delegate.
	Delegate bool
	// Delegates holds the entries of all other delegates, by name.
	Delegates map[string]Entry
	// Homes are the names of the delegates that this host prefers as its home, the
	// best first: those of its own domain before all others.
	Homes []string
}

// newTopology computes the topology for the host self from the directory's entries of
// all hosts, by name. Hosts with the same entries agree on the delegates.
func newTopology(self Entry, hosts map[string]Entry) *Topology {
	t := &Topology{Delegates: make(map[string]Entry)}
	byDomain := make(map[string][]Entry)
	for _, e := range hosts {
		if e.Host != self.Host {
			byDomain[e.Domain] = append(byDomain[e.Domain], e)
		}
	}
	byDomain[self.Domain] = append(byDomain[self.Domain], self)
	total := 0
	for _, entries := range byDomain {
		total += len(entries)
	}
	for _, entries := range byDomain {
		count := len(entries)
		if total > meshHosts {
			count = min(count, max(minDelegates, (len(entries)+membersPerDelegate-1)/membersPerDelegate))
		}
		for _, e := range topRanked(entries, "", count) {
			if e.Host == self.Host {
				t.Delegate = true
			} else {
				t.Delegates[e.Host] = e
			}
		}
	}
	t.Homes = homes(self, t.Delegates)
	return t
}

// homes returns the names of the delegates, those of the host's domain first. Each host
// has an order of its own, so that hosts spread over the delegates.
func homes(self Entry, delegates map[string]Entry) []string {
	var near, far []Entry
	for _, e := range delegates {
		if e.Domain == self.Domain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	ranked := append(topRanked(near, self.Host, len(near)), topRanked(far, self.Host, len(far))...)
	names := make([]string, len(ranked))
	for i, e := range ranked {
		names[i] = e.Host
	}
	return names
}

// topRanked returns the count entries with the highest rendezvous score for the key,
// highest first.
func topRanked(entries []Entry, key string, count int) []Entry {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		scoreA, scoreB := rendezvousScore(a, key), rendezvousScore(b, key)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		default:
			return strings.Compare(a.Host, b.Host)
		}
	})
	return ranked[:count]
}

// rendezvousScore returns the weighted rendezvous score of an entry for the key. The
// entry with the highest score is chosen with a probability proportional to its weight.
// The square of the capacity favors capable hosts among few candidates.
func rendezvousScore(e Entry, key string) float64 {
	weight := e.Capacity
	if weight <= 0 {
		weight = 1
	}
	hash := xxhash.Sum64String(e.Host + "\x00" + key)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight * weight / math.Log(uniform)
}
