package kv

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Write is one write that took effect, as the record holds it.
type Write struct {
	At       time.Time        `json:"at"`
	Client   string           `json:"client"`
	Key      string           `json:"key"`
	Revision backing.Revision `json:"revision"`
	// Expect is the revision that the writer expected.
	Expect  backing.Revision `json:"expect"`
	Lease   backing.LeaseID  `json:"lease"`
	Deleted bool             `json:"deleted"`
	// Expired is true for deletions because of a lease that ended.
	Expired bool `json:"expired"`
	// Hash is the xxhash of the value, Size its length.
	Hash uint64 `json:"hash"`
	Size int    `json:"size"`
}
