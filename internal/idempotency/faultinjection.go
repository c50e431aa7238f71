package idempotency

// faultInjection disables parts of the protocol, to verify that the tests detect
// the resulting faults. All fields are false outside tests.
type faultInjection struct {
	// takeOverClaims lets a request claim a key that another one has claimed.
	takeOverClaims bool
	// releaseUnknown releases a key although its outcome is unknown.
	releaseUnknown bool
	// assumeWritten treats a write without an answer as successful.
	assumeWritten bool
}

func (f *faultInjection) mayTakeOver(found *record) bool {
	return f.takeOverClaims && found.state == stateClaimed
}
