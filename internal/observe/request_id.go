package observe

import (
	"crypto/rand"
	"encoding/hex"
)

// HeaderRequestID is the HTTP header that carries a request ID.
const HeaderRequestID = "X-Request-Id"

// requestIDBytes is the length of a request ID before hex encoding.
const requestIDBytes = 16

// Limits on the length of a caller's request ID.
const (
	callerIDMinBytes = 8
	callerIDMaxBytes = 64
)

// NewRequestID returns a new ID of 128 random bits as 32 hex digits.
func NewRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:]) // Read never returns an error; it crashes the program instead.
	return hex.EncodeToString(id[:])
}

// CallerRequestID returns the caller's request ID from the header if it is valid:
// 8 to 64 letters, digits, dots, dashes or underscores. Otherwise it returns "".
//
// A caller's ID is used only in logs and in the response header. Two callers may
// send the same ID, so it never identifies a request between processes.
func CallerRequestID(header string) string {
	if len(header) < callerIDMinBytes || len(header) > callerIDMaxBytes {
		return ""
	}
	for i := range len(header) {
		if !isCallerIDByte(header[i]) {
			return ""
		}
	}
	return header
}

func isCallerIDByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '.' || b == '-' || b == '_'
	}
}
