package snapshot

import "slices"

// VoterList names the voters: every accepted change is stored by a majority of
// them. During a replacement of the voters both lists are in force, and a
// majority of each is required.
type VoterList struct {
	Hosts []string `json:"hosts"`
	// Previous is the list that Hosts replaces. It is empty once a majority of
	// each list has the replacement.
	Previous []string `json:"previous,omitempty"`
}

// All returns the voters of both lists in name order, without duplicates.
func (l VoterList) All() []string {
	all := slices.Concat(l.Hosts, l.Previous)
	slices.Sort(all)
	return slices.Compact(all)
}

// Contains reports whether the host is a voter of either list.
func (l VoterList) Contains(host string) bool {
	return slices.Contains(l.Hosts, host) || slices.Contains(l.Previous, host)
}

// Majority reports whether acknowledged returns true for more than half of the
// hosts of each list in force. It is false if Hosts is empty.
func (l VoterList) Majority(acknowledged func(host string) bool) bool {
	if !majorityOf(l.Hosts, acknowledged) {
		return false
	}
	return len(l.Previous) == 0 || majorityOf(l.Previous, acknowledged)
}

func majorityOf(hosts []string, acknowledged func(host string) bool) bool {
	count := 0
	for _, host := range hosts {
		if acknowledged(host) {
			count++
		}
	}
	return 2*count > len(hosts)
}
