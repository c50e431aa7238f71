package snapshot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankHosts returns the hosts by falling rendezvous weight for the key: each
// key prefers its own order, and a host that goes leaves the others' order as
// it was.
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
