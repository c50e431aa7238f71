package backing

import "context"

// UsageReport is one sealed page of one usage window.
type UsageReport struct {
	// Window is the start of the window in RFC 3339, Shard its shard.
	Window string
	Shard  int
	Page   int
	// Fence is the fencing number of the reporting lease.
	Fence  int64
	Issuer string
	// Body is the sealed page; a repeat is byte-identical.
	Body []byte
}

// UsageSink takes usage reports.
type UsageSink interface {
	// Report is idempotent for identical bodies; ErrRejected for a page that
	// was reported before with another body.
	Report(ctx context.Context, r UsageReport) error
}
