package once

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// record is what is known of a key: its last claim and that claim's state.
type record struct {
	mark  mark
	body  BodyHash
	at    int64
	state state
	// response is set while the line of stateDone is in the open page.
	response *Response
	// page is the sealed page with the line of stateDone, zero for none.
	page backing.Revision
}

// index holds the last claim of each key of a shard.
type index struct {
	records map[keyHash]*record
}

func newIndex() *index {
	return &index{records: make(map[keyHash]*record)}
}

// apply takes a line in log order. page is the sealed page that holds it,
// zero for the open page.
func (x *index) apply(e *entry, page backing.Revision) {
	if e.State == stateClaimed {
		x.records[e.Key] = &record{mark: e.Mark, body: e.Body, at: e.At, state: stateClaimed}
		return
	}
	current := x.records[e.Key]
	if current == nil || current.mark != e.Mark {
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

// find returns the record that blocks a claim of the key, or nil.
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

// sweep forgets the records that are older than the retention time.
func (x *index) sweep(now time.Time, retention time.Duration) {
	for k, r := range x.records {
		if now.Unix()-r.at > int64(retention/time.Second) {
			delete(x.records, k)
		}
	}
}
