//go:build !linux

package sockopt

import (
	"syscall"
	"time"
)

// UserTimeout returns a function that does nothing, because only Linux supports
// TCP_USER_TIMEOUT.
func UserTimeout(time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error { return nil }
}
