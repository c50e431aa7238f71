package snapshot

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// Item is one resource of a change.
type Item struct {
	resource.Resource
	// Deleted reports whether the change removes the resource.
	Deleted bool `json:"deleted,omitempty"`
}

// Change is one accepted change of the configuration. All its items take effect
// atomically, at one revision.
type Change struct {
	Revision resource.Revision `json:"revision"`
	// WriteID is the unique write ID of the attempt that wrote the change.
	WriteID string `json:"mark"`
	Items   []Item `json:"items,omitempty"`
	// Voters replaces the list of voters; nil leaves it unchanged.
	Voters *VoterList `json:"voters,omitempty"`
}

// ErrEncoding reports a change, page or head record that cannot be decoded.
var ErrEncoding = errors.New("invalid configuration record")

// Encode returns the change as stored JSON.
func (c Change) Encode() ([]byte, error) {
	value, err := json.Marshal(c)
	return value, errors.Wrap(err, "encode change")
}

// DecodeChange decodes a change written by Encode. It returns ErrEncoding for
// invalid data.
func DecodeChange(value []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(value, &c); err != nil {
		return Change{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return c, nil
}
