// Package peer replicates state between entry hosts: their load on engines, the
// tokens consumed of each workspace's rate limit, and usage counts. Hosts discover
// each other through the platform's store and exchange snapshots of their full
// state, so that the loss of a message is harmless.
package peer

import (
	"time"

	"github.com/acacialink/acacialink/internal/placement"
)

// Snapshot is the message that hosts exchange: the sender's full state at one
// moment, and incremental updates that the receiver has not acknowledged.
type Snapshot struct {
	// Host is the sender's name.
	Host string `json:"host"`
	// Incarnation identifies one start of the sender's process.
	Incarnation string `json:"inc"`
	// UptimeMillis is the age of the sender's process in milliseconds.
	UptimeMillis int64 `json:"up"`
	// Sequence orders the snapshots of one incarnation.
	Sequence int64 `json:"seq"`
	// WallMillis is the sender's wall-clock time in Unix milliseconds.
	WallMillis int64 `json:"wall"`
	// Loads is the sender's load on each engine, by endpoint ID.
	Loads map[string]placement.Load `json:"loads,omitempty"`
	// ConsumedTokens is the number of tokens that the sender consumed of each
	// workspace's rate limit, by workspace.
	ConsumedTokens map[string]int64 `json:"spent,omitempty"`
	// StageChanges maps the endpoint ID of each engine that the sender ordered to
	// change its stage to the time remaining until the change is complete.
	StageChanges map[string]time.Duration `json:"switching,omitempty"`
	// Leader reports whether the sender holds the control lease.
	Leader bool `json:"leads,omitempty"`
	// Draining reports whether the sender is draining before it exits.
	Draining bool `json:"draining,omitempty"`

	// Versions are the sender's version reports at the time of sending.
	Versions VersionReports `json:"sights"`

	// Dispatches, Changes and Usage are incremental updates. Receivers accept repeated
	// delivery of them.

	// Dispatches are the latest dispatches.
	Dispatches []placement.DispatchRecord `json:"placed,omitempty"`
	// Changes are changes of the endpoint registry.
	Changes []Change `json:"changes,omitempty"`
	// Usage holds usage counts by window and workspace.
	Usage map[int64]map[string]int64 `json:"usage,omitempty"`
}

// Change is a change of one entry of the endpoint registry, as stored.
type Change struct {
	// Key is the entry's key in the store.
	Key string `json:"k"`
	// Value is the entry's new value; empty if the entry was deleted.
	Value []byte `json:"v,omitempty"`
	// Revision is the store revision of the change.
	Revision int64 `json:"r"`
	// Deleted reports whether the entry was deleted.
	Deleted bool `json:"d,omitempty"`
}

// VersionReport is the version of an item in the store and the time since a
// linearizable read returned it.
type VersionReport struct {
	Version uint64 `json:"v"`
	// AgeMillis is the time since that read in milliseconds, rounded up; negative if
	// no read has returned the version.
	AgeMillis int64 `json:"a"`
}

// VersionReports holds a host's version reports for the store.
type VersionReports struct {
	// WatchesStore reports whether the host watches the store on behalf of all hosts
	// and its reads succeed.
	WatchesStore bool `json:"f,omitempty"`
	// Config reports the configuration; its version is the store revision.
	Config VersionReport `json:"c"`
	// Endpoints reports the endpoint registry; its version is a checksum of the
	// entries' keys and revisions.
	Endpoints VersionReport `json:"e"`
}

// UpdatePosition is the position up to which a peer has acknowledged a host's updates.
type UpdatePosition struct {
	// Dispatches is the number of dispatches sent. Changes is the number of
	// registry changes sent.
	Dispatches, Changes int64
	// UsageSentAt is the time at which usage counts were last sent.
	UsageSentAt time.Time
}
