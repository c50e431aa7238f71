// Package member knows which entry hosts and endpoints live, leave or are
// gone. Entry hosts keep a full table and spread changes to random peers;
// every endpoint is watched by a few entry hosts of its failure domain.
//
// The table is a hint, never an authority: a false "gone" or "leaving" stops
// new work at most until it is refuted, and nothing running is cut by it.
package member

// State is what a member or an endpoint is taken for.
type State uint8

// The states, with their numbers on the wire.
const (
	// Live takes work.
	Live State = 0
	// Leaving finishes its work and takes no new one.
	Leaving State = 1
	// Gone was silent for long, or said so itself.
	Gone State = 2
	// Suspect was silent; it is Gone unless it is heard of in time.
	Suspect State = 3
	// Unknown was never heard of. It is not on the wire.
	Unknown State = 255
)

// String returns the state's name.
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

// rank orders states of the same version: the higher one wins.
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

// silent says whether the state rests on silence or an end.
func (s State) silent() bool { return s == Suspect || s == Gone }

// onWire says whether a number from the wire is a state.
func onWire(n uint32) bool { return n <= uint32(Suspect) }
