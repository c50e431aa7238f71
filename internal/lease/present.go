package lease

// HostPiece names the piece that each candidate holds to show that it lives
// and reaches the store. It ends with the host's lease.
func HostPiece(host string) string { return "host/" + host }

// Preferred returns the host that should hold the piece: the first by hash
// among those candidates that hold their HostPiece, and the host itself for
// its HostPiece. The platform's list of hosts lags, and names hosts that died
// or were stopped; the store's leases show within their time who lives. It is
// false until the directory has read the store.
func (d *Directory) Preferred(piece string, candidates []string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known {
		return "", false
	}
	present := make([]string, 0, len(candidates))
	for _, host := range candidates {
		if piece == HostPiece(host) {
			return host, true
		}
		if _, ok := d.holders[HostPiece(host)]; ok {
			present = append(present, host)
		}
	}
	return Preferred(piece, present)
}
