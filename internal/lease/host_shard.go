package lease

// HostShard returns the name of the host's own shard. A candidate holds it to show
// that it is running and can reach the store. It expires with the host's lease.
func HostShard(host string) string { return "host/" + host }

// Preferred returns the host that should hold the shard: the host itself for its
// HostShard, else the first by hash among the candidates that hold their
// HostShard. The platform's list of hosts lags and includes hosts that crashed or
// were stopped, while the leases in the store show a loss within their TTL.
// Preferred returns false until the directory has read the store, and if no
// candidate holds its HostShard.
func (d *Directory) Preferred(shard string, candidates []string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return "", false
	}
	live := make([]string, 0, len(candidates))
	for _, host := range candidates {
		if shard == HostShard(host) {
			return host, true
		}
		if _, ok := d.holders[HostShard(host)]; ok {
			live = append(live, host)
		}
	}
	return Preferred(shard, live)
}
