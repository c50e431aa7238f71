package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host that may hold shards.
type Host struct {
	Name string
	// Domain is the failure domain of the host.
	Domain string
}

// Candidates returns the names of the hosts that shards are distributed over:
// the first perDomain hosts of each failure domain, ordered by a hash of their
// names. Each candidate renews a lease, so fewer candidates cause fewer renewals.
// Candidates serve callers like all other hosts.
func Candidates(hosts []Host, perDomain int) []string {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int {
		if x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return 0
	})
	chosen := make(map[string]int)
	var names []string
	for _, h := range hosts {
		if chosen[h.Domain] < perDomain {
			chosen[h.Domain]++
			names = append(names, h.Name)
		}
	}
	return names
}

// Preferred returns the candidate that should hold the shard, and false if there
// are no candidates. It uses rendezvous hashing, so that the loss of a host moves
// only the shards of that host.
func Preferred(shard string, candidates []string) (string, bool) {
	best := ""
	var highest uint64
	for _, name := range candidates {
		score := xxhash.Sum64String(shard + "\x00" + name)
		if best == "" || score > highest || (score == highest && name < best) {
			best, highest = name, score
		}
	}
	return best, best != ""
}
