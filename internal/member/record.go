package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// kind is the type of a record's subject.
type kind uint64

// The kinds of records. They are the lowest bits of a record's ID.
const (
	kindMember kind = iota
	kindEndpoint
	kindHost

	kindMask = 3
)

// record is one entry of the table. Records are replaced rather than modified,
// except for sendsLeft and lastContact.
type record struct {
	id          uint64
	kind        kind
	name        string
	incarnation string
	state       State
	version     uint64
	// domain and address are set for members only.
	domain, address string
	// info is set for endpoints only.
	info AgentInfo
	// since is the time at which this table adopted the state.
	since time.Time
	// lastContact is the time of the last message from the member itself.
	lastContact time.Time
	// sendsLeft is the number of times that the record is still to be sent.
	sendsLeft int
}

// AgentInfo is the part of an agent's state that is gossiped for its endpoint.
type AgentInfo struct {
	Ready    bool     `json:"ready"`
	Role     string   `json:"role,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

func (i AgentInfo) equal(other AgentInfo) bool {
	return i.Ready == other.Ready && i.Role == other.Role &&
		slices.Equal(i.Models, other.Models) && slices.Equal(i.Adapters, other.Adapters)
}

// recordID returns the ID of the record of a kind and name.
func recordID(k kind, name string) uint64 {
	return xxhash.Sum64String(name)&^kindMask | uint64(k)
}

// kindOf returns the kind encoded in a record ID.
func kindOf(id uint64) kind { return kind(id & kindMask) }

// newer reports whether a replaces b, a record of the same ID. The order is the
// same on every host, so tables that received the same records converge.
func newer(a, b *record) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	if a.state != b.state {
		return a.state.rank() > b.state.rank()
	}
	return !a.state.suspectOrGone() && a.incarnation > b.incarnation
}

// inChecksum reports whether the record is included in the bucket checksums.
// Suspect and gone members are not, since each table removes them at a
// different time.
func (r *record) inChecksum() bool {
	switch r.kind {
	case kindMember:
		return !r.state.suspectOrGone()
	case kindHost:
		return r.state != Live
	default:
		return true
	}
}

// checksum returns the record's contribution to its bucket's checksum. Suspect
// and gone count as the same state, since each table makes that transition by
// its own clock.
func (r *record) checksum() uint32 {
	rank := r.state.rank()
	if r.state == Gone {
		rank = Suspect.rank()
	}
	return uint32(mix64(r.id ^ mix64(r.version<<2|uint64(rank))))
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
