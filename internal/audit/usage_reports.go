package audit

import (
	"bytes"

	"github.com/acacialink/acacialink/internal/standin/usagesink"
)

type usagePage struct {
	window      string
	shard, page int
}

type usageIssuer struct {
	shard int
	fence int64
}

// checkUsageReports looks for pages reported with different bodies, and for
// shards that two processes reported at the same time.
func checkUsageReports(rep *report, r *Record, _ Bounds) {
	bodies := make(map[usagePage][]byte)
	issuers := make(map[usageIssuer]string)
	highest := make(map[int]int64)
	for _, u := range r.Usage {
		rep.saw()
		key := usagePage{window: u.Window, shard: u.Shard, page: u.Page}
		if body, known := bodies[key]; known && !bytes.Equal(body, u.Body) {
			rep.add("page %d of window %s, shard %d, was reported with different figures", u.Page, u.Window, u.Shard)
		}
		bodies[key] = u.Body
		checkUsageIssuer(rep, u, issuers, highest)
	}
}

func checkUsageIssuer(rep *report, u usagesink.Report, issuers map[usageIssuer]string, highest map[int]int64) {
	key := usageIssuer{shard: u.Shard, fence: u.Fence}
	if other, known := issuers[key]; known && other != u.Issuer {
		rep.add("%s and %s reported shard %d with fencing number %d", other, u.Issuer, u.Shard, u.Fence)
	}
	issuers[key] = u.Issuer
	if u.Fence < highest[u.Shard] {
		rep.add("%s reported shard %d with fencing number %d after %d", u.Issuer, u.Shard, u.Fence, highest[u.Shard])
	}
	highest[u.Shard] = max(highest[u.Shard], u.Fence)
}
