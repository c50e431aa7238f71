package observe

import (
	"crypto/rand"
	"encoding/hex"
)

// HeaderRequestID is the HTTP header that carries a request id.
const HeaderRequestID = "X-Request-Id"

// requestIDBytes is the length of a request id before hex encoding.
const requestIDBytes = 16

// Bounds of a caller's own request id, in bytes.
const (
	callerIDMin = 8
	callerIDMax = 64
)

// NewRequestID returns a new id of 128 random bits in 32 hex digits.
func NewRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:]) // Never fails: the program ends instead.
	return hex.EncodeToString(id[:])
}

// CallerRequestID returns a caller's own id if it is well-formed: 8 to 64 of
// letters, digits, dot, dash and underscore. Otherwise it returns "".
//
// A caller's id is for logs and the answer's header only. Two callers may send
// the same one, so it never names a request between processes.
func CallerRequestID(header string) string {
	if len(header) < callerIDMin || len(header) > callerIDMax {
		return ""
	}
	for i := range len(header) {
		if !callerIDByte(header[i]) {
			return ""
		}
	}
	return header
}

func callerIDByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '.' || b == '-' || b == '_'
	}
}
