package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host that may hold pieces.
type Host struct {
	Name   string
	Domain string
}

// Candidates returns the hosts among which pieces are spread: the first
// perDomain of each domain in the order of a hash of their names. Fewer hosts
// with a lease each means fewer renewals; they serve callers like all others.
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
	taken := make(map[string]int)
	var names []string
	for _, h := range hosts {
		if taken[h.Domain] < perDomain {
			taken[h.Domain]++
			names = append(names, h.Name)
		}
	}
	return names
}

// Preferred returns the host that should hold the piece: the highest by a hash
// of piece and host (rendezvous hashing), so that the loss of a host moves its
// pieces and no others.
func Preferred(piece string, candidates []string) (string, bool) {
	best := ""
	var highest uint64
	for _, name := range candidates {
		score := xxhash.Sum64String(piece + "\x00" + name)
		if best == "" || score > highest || (score == highest && name < best) {
			best, highest = name, score
		}
	}
	return best, best != ""
}
