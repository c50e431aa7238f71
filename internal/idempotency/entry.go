package idempotency

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// state is the known progress of the request under a claim.
type state uint8

const (
	// stateClaimed: the claiming host may send the request at any time.
	stateClaimed state = iota + 1
	// stateDone: the request ran and its response is recorded.
	stateDone
	// stateUnknown: the request was sent and its outcome is unknown.
	stateUnknown
	// stateAbandoned: the request was not and will not be sent under this claim.
	stateAbandoned
)

// entry is one entry of a shard's log. An entry in stateClaimed claims its key.
// An entry in any other state applies only to the claim with the same ID.
type entry struct {
	Key     keyHash  `json:"k"`
	ClaimID claimID  `json:"m"`
	State   state    `json:"s"`
	Body    BodyHash `json:"b"`
	// At is the writer's wall clock in Unix seconds.
	At int64 `json:"t"`
	// Response is set in stateDone unless it exceeds Options.MaxResponseBytes.
	Response *Response `json:"r,omitempty"`
}

// pageRef refers to a sealed page of a shard's log.
type pageRef struct {
	// Head is the revision of the head record whose open page was sealed.
	Head backing.Revision `json:"h"`
	// SealedAt is an upper bound, in Unix seconds, of the time of the page's
	// newest entry.
	SealedAt int64 `json:"t"`
}

// expired reports whether all entries of the page are older than retention.
func (p pageRef) expired(now time.Time, retention time.Duration) bool {
	return now.Unix()-p.SealedAt > int64(retention/time.Second)
}

// head is the head record of a shard: references to the sealed pages, oldest
// first, and the entries of the open page. A compare-and-swap of the head succeeds
// only if its writer has read every claim of the shard.
type head struct {
	Pages []pageRef `json:"pages,omitempty"`
	Open  []entry   `json:"open"`
}
