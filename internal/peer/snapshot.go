// Package peer replicates state between entry hosts: their load on engines, the
// tokens consumed of each workspace's rate limit, and usage counts. Hosts discover
// each other through the platform's store. In a large deployment some hosts of each
// failure domain are delegates: they exchange with each other, and every other host
// exchanges with one of them. Snapshots contain the sender's full state, so that the
// loss of a message is harmless.
package peer

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
	"github.com/acacialink/acacialink/internal/placement"
	"github.com/acacialink/acacialink/internal/suspect"
)

// Snapshot is the message that hosts exchange: the sender's full state at one
// moment, and incremental updates that the receiver has not acknowledged. A delegate
// speaks for its members too. In an answer to a member it speaks for all hosts but that
// member.
type Snapshot struct {
	// Host is the sender's name.
	Host string
	// Incarnation identifies one start of the sender's process.
	Incarnation string
	// UptimeMillis is the age of the sender's process in milliseconds.
	UptimeMillis int64
	// Sequence orders the snapshots of one incarnation.
	Sequence int64
	// WallMillis is the sender's wall-clock time in Unix milliseconds.
	WallMillis int64
	// Delegate reports whether the sender is a delegate. Members are the members that
	// currently report to it.
	Delegate bool
	Members  []string
	// Loads is the load on each engine, by endpoint ID.
	Loads map[string]placement.Load
	// ConsumedTokens is the number of tokens that the sender consumed of each
	// workspace's rate limit, by workspace.
	ConsumedTokens map[string]int64
	// StageChanges maps the endpoint ID of each engine that the sender ordered to
	// change its stage to the time remaining until the change is complete.
	StageChanges map[string]time.Duration
	// Rates is what endpoints stated about the rates that they take, by endpoint ID.
	Rates map[string]pace.Statement
	// Departures are the endpoints that stated that they leave, by ID.
	Departures map[string]endpoint.Departure
	// StatedLoads is what endpoints that are slow, or lately were, stated of their load, by ID.
	StatedLoads map[string]endpoint.LoadReport
	// Starts are the endpoints that have just started, by ID.
	Starts map[string]endpoint.Start
	// Evacuations are the latest states of the evacuations of failure domains.
	Evacuations []endpoint.Evacuation
	// WindowTokens is the part of ConsumedTokens in the current window, in a member's
	// report.
	WindowTokens map[string]int64
	// Leader reports whether the sender holds the control lease. LeaderHost is the
	// leader that a delegate is in touch with, in its answers to members.
	Leader     bool
	LeaderHost string
	// Walls are readings of the wall clocks of hosts at the time of sending, in Unix
	// milliseconds, in answers to members.
	Walls map[string]int64
	// Draining reports whether the sender is draining before it exits.
	Draining bool

	// Versions are the sender's version reports at the time of sending.
	Versions VersionReports

	// Dispatches, Changes and Usage are incremental updates. Receivers accept repeated
	// delivery of them.

	// Dispatches are the latest dispatches.
	Dispatches placement.DispatchBatch
	// Changes are changes of the endpoint registry. In an answer to a member,
	// ChangesNext is the position after them.
	Changes     []Change
	ChangesNext int64
	// Usage holds usage counts by incarnation, window and workspace.
	Usage map[string]map[int64]map[string]int64
	// Evidence holds reports of crashes of engines and what speaks against them.
	Evidence suspect.Batch
	// After is the position in the updates of the delegate's incarnation AfterOf that
	// a member has received. The answer contains the updates after it.
	After   UpdatePosition
	AfterOf string
}

// Change is a change of one entry of the endpoint registry, as stored.
type Change struct {
	// Key is the entry's key in the store.
	Key string
	// Value is the entry's new value; empty if the entry was deleted.
	Value []byte
	// Revision is the store revision of the change.
	Revision backing.Revision
	// Deleted reports whether the entry was deleted.
	Deleted bool
}

// VersionReport is the version of an item in the store and the time since a
// linearizable read returned it.
type VersionReport struct {
	Version uint64
	// AgeMillis is the time since that read in milliseconds, rounded up; negative if
	// no read has returned the version.
	AgeMillis int64
}

// VersionReports holds a host's version reports for the store.
type VersionReports struct {
	// WatchesStore reports whether the host watches the store on behalf of all hosts
	// and its reads succeed.
	WatchesStore bool
	// Config reports the configuration; its version is the store revision of the last
	// read. CatalogVersion is the own version of the configuration in force, and
	// CatalogRevision where it was read: the store may have lost it. They are 0 if there is
	// none.
	Config          VersionReport
	CatalogVersion  int64
	CatalogRevision backing.Revision
	// Endpoints reports the endpoint registry; its version is a checksum of the
	// entries' keys and revisions.
	Endpoints VersionReport
}

// UpdatePosition is the position up to which a peer has acknowledged a host's updates.
type UpdatePosition struct {
	// Dispatches is the number of dispatches sent. Changes is the number of
	// registry changes sent.
	Dispatches int64
	Changes    int64
	// Reports and Survivals are the numbers of those sent as evidence.
	Reports, Survivals int64
	// UsageSentAt is the time at which usage counts were last sent.
	UsageSentAt time.Time
}
