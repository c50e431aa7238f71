// Package endpoint keeps the endpoints that the platform's registry lists, as
// this process believes them to be.
package endpoint

// Stage is the part of a generation that an engine does.
type Stage uint8

// The stages. Plain services have StageNone.
const (
	StageNone Stage = iota
	StagePrefill
	StageDecode
)

// String returns the stage's name for logs.
func (s Stage) String() string {
	switch s {
	case StagePrefill:
		return "prefill"
	case StageDecode:
		return "decode"
	default:
		return "none"
	}
}

// Endpoint is one running process of a service. Values are not changed once
// they are in a Set.
type Endpoint struct {
	// ID names one start of the process, Address is its IP:PORT.
	ID, Address     string
	Service, Domain string
	// Born is the start in Unix milliseconds: an ID may be used again.
	Born  int64
	Slots int
	Stage Stage
	// Revision is the store's revision of the entry.
	Revision int64
	// Draining endpoints take no new work.
	Draining bool
}

// Key tells two starts under one ID apart.
type Key struct {
	ID   string
	Born int64
}

// Key returns the identity of this start.
func (e *Endpoint) Key() Key { return Key{ID: e.ID, Born: e.Born} }
