// Package verdict says, for every failed request, whether its work may have
// been executed at an endpoint. Retry and refusal logic reads nothing else.
package verdict

// Verdict states whether a request may have been executed.
type Verdict uint8

const (
	// MayHaveRun means that the endpoint may have received the request and
	// the outcome is unknown. It is the zero value, so that a forgotten
	// verdict never claims that it is safe to repeat a request.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached the endpoint, or that
	// the agent beside the endpoint holds proof that it was not started.
	NotRun
	// Ran means that the endpoint executed the request and its outcome is known.
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

// Parse returns the verdict that s names; an unknown name is MayHaveRun.
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
