// Package peer lets entry hosts tell each other what they do: their work at
// engines, what they took of workspaces' rates, and their usage counts. Hosts
// find each other in the platform's store and exchange snapshots of their
// whole state, so that a lost message does no harm.
package peer

import (
	"time"

	"github.com/acacialink/acacialink/internal/placement"
)

// Snapshot is what one host tells the others: its state at a moment, and news
// that a peer has not been told yet.
type Snapshot struct {
	Host string `json:"host"`
	// Incarnation names one start of the process, Uptime its age in ms.
	Incarnation string `json:"inc"`
	Uptime      int64  `json:"up"`
	// Sequence orders the states of one start.
	Sequence int64 `json:"seq"`
	// Wall is the host's time of day in Unix milliseconds, as it reads it.
	Wall int64 `json:"wall"`
	// Loads is its work at each engine.
	Loads map[string]placement.Load `json:"loads,omitempty"`
	// Spent is what it took of each workspace's rate.
	Spent map[string]int64 `json:"spent,omitempty"`
	// Switching holds the engines that this host ordered to change their stage,
	// and the time left.
	Switching map[string]time.Duration `json:"switching,omitempty"`
	// Leads says that it holds the control lease; Draining that it is about to end.
	Leads    bool `json:"leads,omitempty"`
	Draining bool `json:"draining,omitempty"`

	// Sights are what the host knows of the store at the moment it says so.
	Sights Sights `json:"sights"`

	// News that peers may hear twice: the latest dispatches, changes of the
	// registry of endpoints, and usage counts by window and workspace.
	Placed  []placement.Placed         `json:"placed,omitempty"`
	Changes []Change                   `json:"changes,omitempty"`
	Usage   map[int64]map[string]int64 `json:"usage,omitempty"`
}

// Change is a change of one entry of the registry, as it lies in the store.
type Change struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Sight is a version of something in the store and how long ago a read that
// cannot be stale found it.
type Sight struct {
	Version uint64 `json:"v"`
	// Age is in ms, rounded up; negative when no read has found the version.
	Age int64 `json:"a"`
}

// Sights is what a host knows of the store.
type Sights struct {
	// Follows says that the host reads the store more often than others, and
	// that it can.
	Follows bool `json:"f,omitempty"`
	// Config is the configuration's revision, Endpoints stands for the
	// registry's entries.
	Config    Sight `json:"c"`
	Endpoints Sight `json:"e"`
}

// Mark is how much of a host's news a peer has been told.
type Mark struct {
	// Placed counts dispatches and Changes those of the registry; Usage is when
	// counts were last told.
	Placed, Changes int64
	Usage           time.Time
}
