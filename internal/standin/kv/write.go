package kv

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Write is a recorded write that took effect.
type Write struct {
	At       time.Time        `json:"at"`
	Client   string           `json:"client"`
	Key      string           `json:"key"`
	Revision backing.Revision `json:"revision"`
	// Expect is the revision of the key that the writer expected.
	Expect  backing.Revision `json:"expect"`
	Lease   backing.LeaseID  `json:"lease"`
	Deleted bool             `json:"deleted"`
	// Expired reports whether the key was deleted because its lease expired.
	Expired bool `json:"expired"`
	// Hash is the xxhash of the value.
	Hash uint64 `json:"hash"`
	// Size is the length of the value in bytes.
	Size int `json:"size"`
}
