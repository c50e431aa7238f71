package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Target is an endpoint that an entry host could open a session to.
type Target struct {
	Name   string
	Domain string
	Models []string
}

// SubsetSize says how many sessions an entry host keeps for each model.
type SubsetSize struct {
	// Near is the number of endpoints in the host's own domain.
	Near int
	// Far is the number of endpoints elsewhere, for the loss of the domain.
	Far int
}

// DefaultSubsetSize keeps 18 models under 300 sessions.
var DefaultSubsetSize = SubsetSize{Near: 10, Far: 6}

// Subset returns the names of the targets that the host keeps sessions to, in
// name order. It ranks targets by a hash of host and target (rendezvous
// hashing): hosts need not know of each other, the loss of a target changes
// one name of the subset, and the change of another host none.
func Subset(host, domain string, targets []Target, size SubsetSize) []string {
	models := make(map[string][]ranked)
	for i := range targets {
		t := &targets[i]
		score := rendezvous(host, t.Name)
		for _, m := range t.Models {
			models[m] = append(models[m], ranked{t, score})
		}
	}
	chosen := make(map[string]struct{})
	for _, list := range models {
		slices.SortFunc(list, ranked.compare)
		choose(chosen, domain, list, size)
	}
	names := make([]string, 0, len(chosen))
	for name := range chosen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type ranked struct {
	target *Target
	score  uint64
}

func (r ranked) compare(o ranked) int {
	if c := cmp.Compare(r.score, o.score); c != 0 {
		return c
	}
	return cmp.Compare(r.target.Name, o.target.Name)
}

// choose takes the best near and far targets; where one kind is short, the
// other fills its places.
func choose(chosen map[string]struct{}, domain string, list []ranked, size SubsetSize) {
	near, far := size.Near, size.Far
	for _, r := range list {
		if r.target.Domain == domain && near > 0 {
			chosen[r.target.Name] = struct{}{}
			near--
		}
		if r.target.Domain != domain && far > 0 {
			chosen[r.target.Name] = struct{}{}
			far--
		}
	}
	for _, r := range list {
		if near+far == 0 {
			return
		}
		if _, ok := chosen[r.target.Name]; !ok {
			chosen[r.target.Name] = struct{}{}
			near, far = take(near, far)
		}
	}
}

// take uses one free place of either kind.
func take(near, far int) (int, int) {
	if near > 0 {
		return near - 1, far
	}
	return near, far - 1
}

func rendezvous(host, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	return d.Sum64()
}
