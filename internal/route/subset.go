package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Target is an endpoint to which an entry host may open a session.
type Target struct {
	Name   string
	Domain string
	Models []string
}

// SubsetSize is the number of sessions that an entry host has open for each model.
type SubsetSize struct {
	// SameDomain is the number of endpoints in the host's own failure domain.
	SameDomain int
	// OtherDomains is the number of endpoints in other domains, which remain
	// available if the endpoints of the host's own domain are lost.
	OtherDomains int
}

// DefaultSubsetSize allows fewer than 300 sessions for 18 models.
var DefaultSubsetSize = SubsetSize{SameDomain: 10, OtherDomains: 6}

// Subset returns the names of the targets to which the host opens sessions,
// sorted. Targets are ranked by a hash of host and target (rendezvous hashing),
// so hosts need no knowledge of each other: losing a target replaces one name of
// the subset, and changes to other hosts replace none.
func Subset(host, domain string, targets []Target, size SubsetSize) []string {
	models := make(map[string][]rankedTarget)
	for i := range targets {
		t := &targets[i]
		score := rendezvousScore(host, t.Name)
		for _, m := range t.Models {
			models[m] = append(models[m], rankedTarget{t, score})
		}
	}
	chosen := make(map[string]struct{})
	for _, list := range models {
		slices.SortFunc(list, rankedTarget.compare)
		choose(chosen, domain, list, size)
	}
	names := make([]string, 0, len(chosen))
	for name := range chosen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type rankedTarget struct {
	target *Target
	score  uint64
}

func (r rankedTarget) compare(other rankedTarget) int {
	if c := cmp.Compare(r.score, other.score); c != 0 {
		return c
	}
	return cmp.Compare(r.target.Name, other.target.Name)
}

// choose adds the highest-ranked targets of both kinds of the list to chosen. If
// there are too few of one kind, its remaining slots are filled with the other.
func choose(chosen map[string]struct{}, domain string, list []rankedTarget, size SubsetSize) {
	sameDomain, otherDomains := size.SameDomain, size.OtherDomains
	for _, r := range list {
		if r.target.Domain == domain && sameDomain > 0 {
			chosen[r.target.Name] = struct{}{}
			sameDomain--
		}
		if r.target.Domain != domain && otherDomains > 0 {
			chosen[r.target.Name] = struct{}{}
			otherDomains--
		}
	}
	for _, r := range list {
		if sameDomain+otherDomains == 0 {
			return
		}
		if _, ok := chosen[r.target.Name]; !ok {
			chosen[r.target.Name] = struct{}{}
			sameDomain, otherDomains = takeSlot(sameDomain, otherDomains)
		}
	}
}

// takeSlot consumes one free slot of either kind.
func takeSlot(sameDomain, otherDomains int) (int, int) {
	if sameDomain > 0 {
		return sameDomain - 1, otherDomains
	}
	return sameDomain, otherDomains - 1
}

func rendezvousScore(host, target string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(host)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(target)
	return digest.Sum64()
}
