package idempotency

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// record is the state of a key: its last claim and the state of that claim.
type record struct {
	claimID claimID
	body    BodyHash
	at      int64
	state   state
	// response is set while the entry with stateDone is in the open page.
	response *Response
	// page is the sealed page that contains the entry with stateDone; zero if
	// there is none.
	page backing.Revision
}

// index maps each key of a shard to its last claim.
type index struct {
	records map[keyHash]*record
}

func newIndex() *index {
	return &index{records: make(map[keyHash]*record)}
}

// apply adds an entry; entries must be applied in log order. page is the sealed
// page that contains the entry, zero for the open page.
func (x *index) apply(e *entry, page backing.Revision) {
	if e.State == stateClaimed {
		x.records[e.Key] = &record{claimID: e.ClaimID, body: e.Body, at: e.At, state: stateClaimed}
		return
	}
	current := x.records[e.Key]
	if current == nil || current.claimID != e.ClaimID {
		return
	}
	next := *current
	next.state = e.State
	next.page = page
	if page == 0 {
		next.response = e.Response
	}
	x.records[e.Key] = &next
}

// find returns the record that prevents a new claim of the key, or nil.
func (x *index) find(k keyHash, now time.Time, retention time.Duration) *record {
	r := x.records[k]
	if r == nil || r.state == stateAbandoned {
		return nil
	}
	if now.Unix()-r.at > int64(retention/time.Second) {
		return nil
	}
	return r
}

// removeExpired removes the records that are older than retention.
func (x *index) removeExpired(now time.Time, retention time.Duration) {
	for k, r := range x.records {
		if now.Unix()-r.at > int64(retention/time.Second) {
			delete(x.records, k)
		}
	}
}
