package snapshot

import (
	"slices"
)

// storeReadersPerDomain is the number of hosts of each failure domain that
// confirm at the store. The others confirm through them.
const storeReadersPerDomain = 3

// maxUpstreams limits the upstreams that are asked in one round.
const maxUpstreams = 3

// hostRole describes where a host confirms its configuration.
type hostRole struct {
	// storeReader reports whether the host confirms at the store.
	storeReader bool
	// voter reports whether the host is a voter. Voters are store readers too.
	voter bool
	// upstreams are the peers to confirm with, in order of preference.
	upstreams []string
}

// withoutLeaving returns the hosts that are not leaving.
func withoutLeaving(live []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(live), func(p Peer) bool { return p.Leaving })
}

// hostRoleOf derives a host's role from the live hosts and the voters. All hosts
// derive it from the same list, so that requests are distributed evenly.
func hostRoleOf(host, domain string, live []Peer, voters VoterList) hostRole {
	local, domains, liveNames := groupByDomain(domain, live)
	readers := storeReadersOf(domain, local, voters)
	role := hostRole{voter: voters.Contains(host)}
	rank := slices.Index(readers, host)
	role.storeReader = role.voter || rank >= 0
	if role.storeReader {
		// While the store is down, confirmations propagate from the voters to
		// the other hosts.
		position := slices.Index(domains, domain)*storeReadersPerDomain + rank
		role.upstreams = upstreamsOf(host, slices.Concat(rotate(position, voters.All()), readers), liveNames)
		return role
	}
	others := slices.DeleteFunc(local, func(h string) bool { return voters.Contains(h) || slices.Contains(readers, h) })
	position := slices.Index(others, host)
	role.upstreams = upstreamsOf(host, slices.Concat(rotate(position, readers), rankHosts(host, voters.All())), liveNames)
	return role
}

// groupByDomain returns the hosts of the domain that are not leaving and all
// domains, both in name order, and the set of the names of all live hosts.
func groupByDomain(domain string, live []Peer) (local, domains []string, liveNames map[string]bool) {
	liveNames = make(map[string]bool, len(live))
	for _, p := range live {
		liveNames[p.Name] = true
		if p.Domain == domain && !p.Leaving {
			local = append(local, p.Name)
		}
		if i, found := slices.BinarySearch(domains, p.Domain); !found {
			domains = slices.Insert(domains, i, p.Domain)
		}
	}
	slices.Sort(local)
	return local, domains, liveNames
}

// storeReadersOf selects the store readers of the domain. Voters have additional
// work while the store is down, so they are excluded if there are enough other
// hosts.
func storeReadersOf(domain string, local []string, voters VoterList) []string {
	others := slices.DeleteFunc(slices.Clone(local), voters.Contains)
	if len(others) < storeReadersPerDomain {
		others = local
	}
	readers := rankHosts("readers/"+domain, others)
	return readers[:min(len(readers), storeReadersPerDomain)]
}

// rotate rotates the list by the host's position among its peers, so that each
// element comes first on about the same number of hosts.
func rotate(position int, list []string) []string {
	if position <= 0 || len(list) == 0 {
		return list
	}
	position %= len(list)
	return slices.Concat(list[position:], list[:position])
}

// upstreamsOf returns the live candidates except the host itself, in order and
// without duplicates.
func upstreamsOf(host string, candidates []string, liveNames map[string]bool) []string {
	var upstreams []string
	for _, name := range candidates {
		if name != host && liveNames[name] && !slices.Contains(upstreams, name) {
			upstreams = append(upstreams, name)
		}
	}
	return upstreams
}
