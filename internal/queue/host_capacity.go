package queue

// headroomFactor is the multiple of its equal part of the reported headroom that a
// host may use.
const headroomFactor = 2

// headroomPercent is the utilization, in percent of the total capacity, from which
// hosts are limited to their equal parts.
const headroomPercent = 70

// HostCapacity returns one host's part of the endpoints' total capacity. Each host is
// entitled to an equal part, and may in addition use some of the headroom reported
// by the endpoints, so that a host that receives a burst does not refuse requests
// while endpoints are idle. used is the work that the endpoints report as in
// progress for all hosts, own the work that this host has in progress.
func HostCapacity(total Capacity, used, own Capacity, hosts int) Capacity {
	n := int64(max(1, hosts))
	return Capacity{
		PrefillTokens: hostPart(total.PrefillTokens, used.PrefillTokens, own.PrefillTokens, n),
		KVBlocks:      hostPart(total.KVBlocks, used.KVBlocks, own.KVBlocks, n),
		Streams:       hostPart(total.Streams, used.Streams, own.Streams, n),
		PrefillRate:   total.PrefillRate / n,
		DecodeRate:    total.DecodeRate / n,
	}
}

func hostPart(total, used, own, hosts int64) int64 {
	headroom := max(0, total*headroomPercent/100-used)
	return max(total/hosts, min(total, own+headroom*headroomFactor/hosts))
}
