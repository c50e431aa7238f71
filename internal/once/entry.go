package once

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// state is how far the work under a claim is known to be.
type state uint8

const (
	// stateClaimed: the holder may send the request at any moment.
	stateClaimed state = iota + 1
	// stateDone: the request ran and its answer is recorded.
	stateDone
	// stateUnknown: the request was sent and its outcome is not known.
	stateUnknown
	// stateAbandoned: the request was not sent under this mark and never will be.
	stateAbandoned
)

// entry is one line of a shard's log. A claim sets the state of its key; any
// other state applies only to the claim with the same mark.
type entry struct {
	Key   keyHash  `json:"k"`
	Mark  mark     `json:"m"`
	State state    `json:"s"`
	Body  BodyHash `json:"b"`
	// At is the wall clock of the writer in Unix seconds.
	At int64 `json:"t"`
	// Response is set in stateDone unless it was too large to keep.
	Response *Response `json:"r,omitempty"`
}

// pageRef names a sealed page of a shard's log.
type pageRef struct {
	// Head is the revision of the head record whose entries the page holds.
	Head backing.Revision `json:"h"`
	// Newest is the time of the page's newest entry in Unix seconds.
	Newest int64 `json:"t"`
}

// expired reports whether the page's newest line is older than the retention time.
func (p pageRef) expired(now time.Time, retention time.Duration) bool {
	return now.Unix()-p.Newest > int64(retention/time.Second)
}

// head is the record of a shard: the sealed pages, oldest first, and the open
// page. A write of it with the expected revision proves that the writer had
// seen every claim of the shard.
type head struct {
	Pages []pageRef `json:"pages,omitempty"`
	Open  []entry   `json:"open"`
}
