package snapshot

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
)

// Item is one resource of a change.
type Item struct {
	resource.Resource
	// Deleted is true when the change removes the resource.
	Deleted bool `json:"deleted,omitempty"`
}

// Change is one accepted step of the configuration. All its items take effect
// together, at one revision.
type Change struct {
	Revision resource.Revision `json:"revision"`
	// Mark is the unique writer mark of the attempt that wrote the change.
	Mark  string `json:"mark"`
	Items []Item `json:"items,omitempty"`
	// Voters, when set, replaces the list of voters.
	Voters *VoterList `json:"voters,omitempty"`
}

// ErrEncoding means that a change, page or head record cannot be read.
var ErrEncoding = errors.New("configuration record cannot be read")

// Encode returns the stored form of the change.
func (c Change) Encode() ([]byte, error) {
	value, err := json.Marshal(c)
	return value, errors.Wrap(err, "encode change")
}

// DecodeChange reads what Encode wrote.
func DecodeChange(value []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(value, &c); err != nil {
		return Change{}, errors.Wrap(ErrEncoding, err.Error())
	}
	return c, nil
}
