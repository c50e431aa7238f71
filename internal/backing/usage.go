package backing

import "context"

// UsageReport is one sealed page of one usage window.
type UsageReport struct {
	// Window is the start of the window in RFC 3339.
	Window string
	// Shard is the shard of the window.
	Shard int
	Page  int
	// Fence is the fencing token of the lease under which the page is reported.
	Fence  int64
	Issuer string
	// Body is the sealed page; it is byte-identical in every repeated report.
	Body []byte
}

// UsageSink receives usage reports.
type UsageSink interface {
	// Report is idempotent for identical bodies. It returns ErrRejected for a
	// page that was already reported with a different body.
	Report(ctx context.Context, r UsageReport) error
}
