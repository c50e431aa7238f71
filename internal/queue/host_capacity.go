package queue

// headroomFactor limits the headroom that a host may use, as a multiple of its
// equal share of the reported headroom.
const headroomFactor = 2

// headroomPercent is the utilization, in percent of the total capacity, from
// which hosts are limited to their equal shares or their work in progress.
const headroomPercent = 70

// HostCapacity returns one host's share of the endpoints' total capacity. Each
// host is entitled to an equal share, and may in addition use some of the headroom
// reported by the endpoints, so that a host that receives a burst does not refuse
// requests while endpoints are idle. used is the work in progress for all hosts,
// as reported by the endpoints. own is the work in progress for this host.
func HostCapacity(total Capacity, used, own Capacity, hosts int) Capacity {
	n := int64(max(1, hosts))
	return Capacity{
		PrefillTokens: hostShare(total.PrefillTokens, used.PrefillTokens, own.PrefillTokens, n),
		KVBlocks:      hostShare(total.KVBlocks, used.KVBlocks, own.KVBlocks, n),
		Streams:       hostShare(total.Streams, used.Streams, own.Streams, n),
		PrefillRate:   total.PrefillRate / n,
		DecodeRate:    total.DecodeRate / n,
	}
}

func hostShare(total, used, own, hosts int64) int64 {
	headroom := max(0, total*headroomPercent/100-used)
	return max(total/hosts, min(total, own+headroom*headroomFactor/hosts))
}
