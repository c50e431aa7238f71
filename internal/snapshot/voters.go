package snapshot

import "slices"

// VoterList names the hosts whose majority holds every accepted change. While
// a list replaces another one, both are in force and a majority of each is
// needed.
type VoterList struct {
	Hosts []string `json:"hosts"`
	// Previous is the list that Hosts replaces; empty once the replacement is
	// held by a majority of both.
	Previous []string `json:"previous,omitempty"`
}

// All returns the voters of both lists, each once, in name order.
func (l VoterList) All() []string {
	all := slices.Concat(l.Hosts, l.Previous)
	slices.Sort(all)
	return slices.Compact(all)
}

// Has says whether the host is a voter.
func (l VoterList) Has(host string) bool {
	return slices.Contains(l.Hosts, host) || slices.Contains(l.Previous, host)
}

// Majority says whether the hosts for which held is true are more than half of
// each list. An empty list has no majority.
func (l VoterList) Majority(held func(host string) bool) bool {
	if !majorityOf(l.Hosts, held) {
		return false
	}
	return len(l.Previous) == 0 || majorityOf(l.Previous, held)
}

func majorityOf(hosts []string, held func(host string) bool) bool {
	count := 0
	for _, h := range hosts {
		if held(h) {
			count++
		}
	}
	return 2*count > len(hosts)
}
