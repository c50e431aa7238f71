// Package verdict classifies every failed request by whether an endpoint may
// have executed it. Decisions to retry or to refuse depend only on this
// classification.
package verdict

// Verdict states whether a request may have been executed.
type Verdict uint8

const (
	// MayHaveRun means that the endpoint may have received the request and that
	// the outcome is unknown. It is the zero value, so that a missing verdict
	// never declares a retry safe.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached the endpoint, or that
	// the agent next to the endpoint has proof that the request was not
	// started.
	NotRun
	// Ran means that the endpoint executed the request and that the outcome is
	// known.
	Ran
)

// Header is the HTTP response header that carries the verdict to the caller.
const Header = "Acacialink-Verdict"

// String returns the wire form: "may-have-run", "not-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with the given wire form. An unknown form is
// MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}
