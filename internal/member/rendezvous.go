package member

import "slices"

// candidate is an entry host that may watch an endpoint.
type candidate struct {
	id     uint64
	domain string
	self   bool
}

// watchRank returns this host's rank among the watchers of an endpoint by
// rendezvous hashing, or -1 if it does not watch the endpoint. Hosts of the
// endpoint's failure domain rank first; hosts of other domains follow if there
// are too few.
func watchRank(endpoint EndpointRef, sameDomain, otherDomains []candidate, watchers int) int {
	rank := rendezvousRank(endpoint.Name, sameDomain)
	if rank < 0 {
		if len(sameDomain) >= watchers {
			return -1
		}
		rank = rendezvousRank(endpoint.Name, otherDomains)
		if rank < 0 {
			return -1
		}
		rank += len(sameDomain)
	}
	if rank >= watchers {
		return -1
	}
	return rank
}

// rendezvousRank returns the number of candidates that rank before this host,
// or -1 if this host is not a candidate.
func rendezvousRank(endpoint string, list []candidate) int {
	selfIndex := slices.IndexFunc(list, func(c candidate) bool { return c.self })
	if selfIndex < 0 {
		return -1
	}
	seed := recordID(kindEndpoint, endpoint)
	score := mix64(seed ^ list[selfIndex].id)
	rank := 0
	for _, c := range list {
		if mix64(seed^c.id) > score {
			rank++
		}
	}
	return rank
}
