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

// dutiesOf decides a host's part from the live hosts and the voters.
func dutiesOf(host, domain string, live []Peer, voters VoterList) duties {
	var local []string
	alive := map[string]bool{}
	for _, p := range live {
		alive[p.Name] = true
		if p.Domain == domain && !p.Leaving {
			local = append(local, p.Name)
		}
	}
	readers := rankHosts("readers/"+domain, local)
	readers = readers[:min(len(readers), readersPerDomain)]
	d := duties{voter: voters.Has(host)}
	d.reader = d.voter || slices.Contains(readers, host)
	d.upstreams = upstreamsOf(host, d.reader, readers, voters.All(), alive)
	return d
}

// upstreamsOf prefers the domain's readers; a reader prefers voters, so that
// confirmations spread from the voters outwards while the store is down.
func upstreamsOf(host string, reader bool, readers, voters []string, alive map[string]bool) []string {
	near, far := rankHosts(host, readers), rankHosts(host, voters)
	if reader {
		near, far = far, near
	}
	var list []string
	for _, name := range slices.Concat(near, far) {
		if name != host && alive[name] && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}
