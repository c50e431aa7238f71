package lease

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// keyPrefix is where the store holds the pieces.
const keyPrefix = "lease/"

// piece is one piece that this host holds or is giving up.
type piece struct {
	name     string
	revision backing.Revision
	// lease is the lease that the key stands under.
	lease backing.LeaseID
	// leaving is when the host stopped using the piece, to release it later.
	leaving   time.Time
	isLeaving bool
	// deleting: the key may be gone already; the piece is not used again.
	deleting bool
}

// holder is the value of a piece's key.
type holder struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Mark        string `json:"mark"`
}
