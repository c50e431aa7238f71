package audit

import (
	"bytes"

	"github.com/acacialink/acacialink/internal/standin/usagesink"
)

// usagePageKey identifies one page of a shard's report for a window.
type usagePageKey struct {
	window      string
	shard, page int
}

// usageIssuerKey identifies the lease term of a shard's reporter.
type usageIssuerKey struct {
	shard int
	fence int64
}

// checkUsageReports finds pages that were reported with different bodies, and
// shards that two processes reported at the same time.
func checkUsageReports(rep *report, r *Record, _ Bounds) {
	bodies := make(map[usagePageKey][]byte)
	issuers := make(map[usageIssuerKey]string)
	highest := make(map[int]int64)
	for _, u := range r.Usage {
		rep.countExamined()
		key := usagePageKey{window: u.Window, shard: u.Shard, page: u.Page}
		if body, known := bodies[key]; known && !bytes.Equal(body, u.Body) {
			rep.addFinding("page %d of window %s, shard %d, was reported with different figures", u.Page, u.Window, u.Shard)
		}
		bodies[key] = u.Body
		checkUsageIssuer(rep, u, issuers, highest)
	}
}

func checkUsageIssuer(rep *report, u usagesink.Report, issuers map[usageIssuerKey]string, highest map[int]int64) {
	key := usageIssuerKey{shard: u.Shard, fence: u.Fence}
	if other, known := issuers[key]; known && other != u.Issuer {
		rep.addFinding("%s and %s reported shard %d with fencing number %d", other, u.Issuer, u.Shard, u.Fence)
	}
	issuers[key] = u.Issuer
	if u.Fence < highest[u.Shard] {
		rep.addFinding("%s reported shard %d with fencing number %d after %d", u.Issuer, u.Shard, u.Fence, highest[u.Shard])
	}
	highest[u.Shard] = max(highest[u.Shard], u.Fence)
}
