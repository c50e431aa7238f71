package lease

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// keyPrefix is the store prefix of the shards.
const keyPrefix = "lease/"

// shard is a shard that this host holds or is releasing.
type shard struct {
	name string
	// revision is the revision at which the key was created.
	revision backing.Revision
	// lease is the lease that the key is attached to.
	lease backing.LeaseID
	// stoppedAt is the time at which the host stopped using the shard.
	stoppedAt time.Time
	// isReleasing reports whether the host has stopped using the shard and will
	// release it.
	isReleasing bool
	// isDeleting reports whether the key may be deleted already. The shard is not
	// used again.
	isDeleting bool
}

// holderValue is the stored value of the key of a shard.
type holderValue struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	WriteToken  string `json:"mark"`
}
