package member

import "time"

// connectivity tracks this host's contact with its peers. A host without
// contact considers itself isolated and suspects nobody.
type connectivity struct {
	// lastContact is the time of the last message or answer from a peer.
	lastContact time.Time
	// failures counts the calls that failed since lastContact.
	failures int
}

// A host is isolated after minIsolatedFailures failed calls in a row and more
// than isolatedPeriods periods without contact.
const (
	minIsolatedFailures = 3
	isolatedPeriods     = 3
)

func (c *connectivity) recordContact(now time.Time) {
	c.lastContact = now
	c.failures = 0
}

// isolated reports whether several calls in a row failed and no peer called in
// the meantime.
func (c *connectivity) isolated(period time.Duration, now time.Time) bool {
	return c.failures >= minIsolatedFailures && now.Sub(c.lastContact) > isolatedPeriods*period
}
