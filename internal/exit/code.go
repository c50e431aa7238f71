// Package exit names the exit codes of every acacialink command.
package exit

// Code is a process exit code.
type Code int

// The exit codes. They are part of the command line's contract.
const (
	// OK means that the command did what it was asked.
	OK Code = 0
	// Failed means that the command ran and failed, or that a stated outcome
	// of a replay does not hold.
	Failed Code = 1
	// Usage means that the command line was wrong.
	Usage Code = 2
	// Settings means that a settings or resources file was refused.
	Settings Code = 3
	// Unreachable means that the process or service asked did not answer.
	Unreachable Code = 4
	// Refused means that the operator's token was missing or wrong.
	Refused Code = 5
	// Conflict means that a resource had another revision than expected.
	Conflict Code = 6
	// TimedOut means that a wait ended before what was waited for.
	TimedOut Code = 7
	// NotFound means that there is no such resource.
	NotFound Code = 8
	// Unknown means that the answer to a change was lost: it may have been
	// accepted.
	Unknown Code = 9
)
