// Package member implements gossip membership of entry hosts and failure
// detection of endpoints. Each entry host holds a full table and gossips changes
// to random peers; each endpoint is watched by a few entry hosts, of its failure
// domain where possible.
//
// The table is advisory: a false "gone" or "leaving" keeps new work away from the
// host until it is refuted, but never interrupts running work.
package member

// State is the liveness state of a member or an endpoint.
type State uint8

// The states, with their values on the wire.
const (
	// Live accepts new work.
	Live State = 0
	// Leaving finishes its work and accepts no new work.
	Leaving State = 1
	// Gone timed out as a suspect, or announced its exit.
	Gone State = 2
	// Suspect did not respond; it becomes Gone unless it refutes in time.
	Suspect State = 3
	// Unknown has no record in the table. It is not used on the wire.
	Unknown State = 255
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	case Suspect:
		return "suspect"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// rank orders states of the same version: the higher rank wins.
func (s State) rank() int {
	switch s {
	case Live:
		return 0
	case Leaving:
		return 1
	case Suspect:
		return 2
	default:
		return 3
	}
}

// suspectOrGone reports whether the state is Suspect or Gone.
func (s State) suspectOrGone() bool { return s == Suspect || s == Gone }

// validState reports whether a value from the wire is a known state.
func validState(n uint32) bool { return n <= uint32(Suspect) }
