package queue

// headroomShare is how many times its equal part of the endpoints' headroom a
// host may use.
const headroomShare = 2

// headroomPercent is how much of the total may be in progress before hosts keep
// to their equal parts.
const headroomPercent = 70

// Share returns one host's part of the endpoints' total capacity. Each host
// has an equal part; beyond that it may use some of the headroom that the
// endpoints report, so that a host whose callers come in a bunch does not
// refuse while endpoints are idle. Used is what the endpoints report as in
// progress for all hosts, own is what this host has in progress itself.
func Share(total Capacity, used, own Capacity, hosts int) Capacity {
	n := int64(max(1, hosts))
	return Capacity{
		PrefillTokens: part(total.PrefillTokens, used.PrefillTokens, own.PrefillTokens, n),
		Pieces:        part(total.Pieces, used.Pieces, own.Pieces, n),
		Streams:       part(total.Streams, used.Streams, own.Streams, n),
		PrefillRate:   total.PrefillRate / n,
		DecodeRate:    total.DecodeRate / n,
	}
}

func part(total, used, own, hosts int64) int64 {
	headroom := max(0, total*headroomPercent/100-used)
	return max(total/hosts, min(total, own+headroom*headroomShare/hosts))
}
