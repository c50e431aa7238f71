package member

import "slices"

// candidate is an entry host that may watch an endpoint.
type candidate struct {
	id     uint64
	domain string
	self   bool
}

// watchRank returns this host's place among the watchers of an endpoint by
// rendezvous hashing, or -1. Hosts of the endpoint's own failure domain come
// first; others fill up when there are too few.
func watchRank(endpoint EndpointRef, local, others []candidate, watchers int) int {
	rank := rankAmong(endpoint.Name, local)
	if rank < 0 {
		if len(local) >= watchers {
			return -1
		}
		rank = rankAmong(endpoint.Name, others)
		if rank < 0 {
			return -1
		}
		rank += len(local)
	}
	if rank >= watchers {
		return -1
	}
	return rank
}

// rankAmong returns how many candidates come before this host, or -1 if it is
// none of them.
func rankAmong(endpoint string, list []candidate) int {
	own := slices.IndexFunc(list, func(c candidate) bool { return c.self })
	if own < 0 {
		return -1
	}
	seed := hashName(kindEndpoint, endpoint)
	score := mix(seed ^ list[own].id)
	rank := 0
	for _, c := range list {
		if mix(seed^c.id) > score {
			rank++
		}
	}
	return rank
}
