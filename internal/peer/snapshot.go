// Package peer lets entry hosts tell each other what they do: their work at
// engines, what they took of workspaces' rates, and their usage counts. Hosts
// find each other in the platform's store and exchange snapshots of their
// whole state, so that a lost message does no harm.
package peer

import (
	"time"

	"github.com/acacialink/acacialink/internal/placement"
)

// Snapshot is what one host tells the others.
type Snapshot struct {
	Host string `json:"host"`
	// Incarnation names one start of the process, Uptime its age in ms.
	Incarnation string `json:"inc"`
	Uptime      int64  `json:"up"`
	// Wall is the host's time of day in Unix milliseconds, as it reads it.
	Wall int64 `json:"wall"`
	// Loads is its work at each engine, Placed its latest dispatches.
	Loads  map[string]placement.Load `json:"loads,omitempty"`
	Placed []placement.Placed        `json:"placed,omitempty"`
	// Spent is what it took of each workspace's rate.
	Spent map[string]int64 `json:"spent,omitempty"`
	// Usage counts the requests that began, by window and workspace.
	Usage map[int64]map[string]int64 `json:"usage,omitempty"`
	// Switching holds the engines that this host ordered to change their stage,
	// and the time left.
	Switching map[string]time.Duration `json:"switching,omitempty"`
	// Leads says that it holds the control lease; Draining that it is about to end.
	Leads    bool `json:"leads,omitempty"`
	Draining bool `json:"draining,omitempty"`
}
