// Package exit defines the exit codes of all acacialink commands.
package exit

// Code is a process exit code.
type Code int

// Exit codes. They are part of the stable command-line interface.
const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means that the command ran and failed, or that an expected outcome
	// of a replay was not met.
	Failed Code = 1
	// Usage means that the command line was invalid.
	Usage Code = 2
	// Settings means that a settings or resources file was rejected.
	Settings Code = 3
	// Unreachable means that the process or service contacted did not respond.
	Unreachable Code = 4
	// Refused means that the operator's token was missing or invalid.
	Refused Code = 5
	// Conflict means that a resource did not have the expected revision.
	Conflict Code = 6
	// TimedOut means that a wait timed out before its condition was met.
	TimedOut Code = 7
	// NotFound means that the resource does not exist.
	NotFound Code = 8
	// Unknown means that the response to a change was lost, so the change may
	// or may not have been accepted.
	Unknown Code = 9
)
