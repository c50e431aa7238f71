package snapshot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankHosts returns the hosts in descending order of their rendezvous hash for
// the key. Each key has its own order, and removing a host does not change the
// order of the others.
func rankHosts(key string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	weight := func(host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }
	slices.SortFunc(ranked, func(a, b string) int {
		if d := cmp.Compare(weight(b), weight(a)); d != 0 {
			return d
		}
		return cmp.Compare(a, b)
	})
	return ranked
}
