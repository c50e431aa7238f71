package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// kind is what a record is about.
type kind uint64

// The kinds of records. They are the lowest bits of a record's id.
const (
	kindMember kind = iota
	kindEndpoint
	kindHost

	kindMask = 3
)

// record is one row of the table. Records are replaced, not changed, except
// for sends and heard.
type record struct {
	id          uint64
	kind        kind
	name        string
	incarnation string
	state       State
	version     uint64
	// domain and address are set for members.
	domain, address string
	// word is set for endpoints.
	word Word
	// since is when this table took up the state.
	since time.Time
	// heard is when the member itself was last heard.
	heard time.Time
	// sends is how often the record is still to be sent.
	sends int
}

// Word is what an endpoint's agent says of it, as far as it is spread.
type Word struct {
	Ready    bool     `json:"ready"`
	Role     string   `json:"role,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

func (w Word) equal(other Word) bool {
	return w.Ready == other.Ready && w.Role == other.Role &&
		slices.Equal(w.Models, other.Models) && slices.Equal(w.Adapters, other.Adapters)
}

// hashName returns the id of a record.
func hashName(k kind, name string) uint64 {
	return xxhash.Sum64String(name)&^kindMask | uint64(k)
}

// kindOf returns the kind of a record by its id.
func kindOf(id uint64) kind { return kind(id & kindMask) }

// newer says whether a replaces b, which is about the same thing. Every table
// decides alike, so tables that saw the same records hold the same ones.
func newer(a, b *record) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	if a.state != b.state {
		return a.state.rank() > b.state.rank()
	}
	return !a.state.silent() && a.incarnation > b.incarnation
}

// counted says whether the record is part of the checksums that tables
// compare. Members that are silent are not: each table forgets them at its own
// time.
func (r *record) counted() bool {
	switch r.kind {
	case kindMember:
		return !r.state.silent()
	case kindHost:
		return r.state != Live
	default:
		return true
	}
}

// checksum returns the record's part of its bucket's checksum. A suspect and
// a gone endpoint count alike, since tables pass from one to the other by
// their own clocks.
func (r *record) checksum() uint32 {
	rank := r.state.rank()
	if r.state == Gone {
		rank = Suspect.rank()
	}
	return uint32(mix(r.id ^ mix(r.version<<2|uint64(rank))))
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
