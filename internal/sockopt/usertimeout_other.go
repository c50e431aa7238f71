//go:build !linux

package sockopt

import (
	"syscall"
	"time"
)

// UserTimeout returns a function that does nothing: only Linux has the option.
func UserTimeout(time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error { return nil }
}
