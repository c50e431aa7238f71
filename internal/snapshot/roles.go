package snapshot

import (
	"slices"
)

// readersPerDomain is how many hosts of each failure domain confirm at the
// store; the others confirm through them.
const readersPerDomain = 3

// maxUpstreams bounds the peers that one round tries.
const maxUpstreams = 3

// duties says whom a host confirms with.
type duties struct {
	// reader is true when the host confirms at the store.
	reader bool
	voter  bool
	// upstreams are the peers to confirm with, the preferred one first.
	upstreams []string
}

// staying returns the hosts that are not leaving.
func staying(live []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(live), func(p Peer) bool { return p.Leaving })
}

// dutiesOf decides a host's part from the live hosts and the voters. All hosts
// decide from the same list, so that the questions are spread evenly.
func dutiesOf(host, domain string, live []Peer, voters VoterList) duties {
	local, domains, alive := arrange(domain, live)
	readers := readersOf(domain, local, voters)
	d := duties{voter: voters.Has(host)}
	rank := slices.Index(readers, host)
	d.reader = d.voter || rank >= 0
	if d.reader {
		// Confirmations spread from the voters outwards while the store is down.
		place := slices.Index(domains, domain)*readersPerDomain + rank
		d.upstreams = upstreamsOf(host, slices.Concat(spread(place, voters.All()), readers), alive)
		return d
	}
	followers := slices.DeleteFunc(local, func(h string) bool { return voters.Has(h) || slices.Contains(readers, h) })
	place := slices.Index(followers, host)
	d.upstreams = upstreamsOf(host, slices.Concat(spread(place, readers), rankHosts(host, voters.All())), alive)
	return d
}

// arrange returns the domain's hosts that stay, and all domains, both in name
// order, and the names of all live hosts.
func arrange(domain string, live []Peer) (local, domains []string, alive map[string]bool) {
	alive = make(map[string]bool, len(live))
	for _, p := range live {
		alive[p.Name] = true
		if p.Domain == domain && !p.Leaving {
			local = append(local, p.Name)
		}
		if i, found := slices.BinarySearch(domains, p.Domain); !found {
			domains = slices.Insert(domains, i, p.Domain)
		}
	}
	slices.Sort(local)
	return local, domains, alive
}

// readersOf chooses the domain's readers. Voters have work of their own while
// the store is down, so they are left out where there are enough others.
func readersOf(domain string, local []string, voters VoterList) []string {
	others := slices.DeleteFunc(slices.Clone(local), voters.Has)
	if len(others) < readersPerDomain {
		others = local
	}
	readers := rankHosts("readers/"+domain, others)
	return readers[:min(len(readers), readersPerDomain)]
}

// spread turns the list by the host's place among its neighbours, so that each
// of the list comes first equally often.
func spread(place int, list []string) []string {
	if place <= 0 || len(list) == 0 {
		return list
	}
	place %= len(list)
	return slices.Concat(list[place:], list[:place])
}

// upstreamsOf returns the live ones of the candidates, each once, in order.
func upstreamsOf(host string, candidates []string, alive map[string]bool) []string {
	var list []string
	for _, name := range candidates {
		if name != host && alive[name] && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}
