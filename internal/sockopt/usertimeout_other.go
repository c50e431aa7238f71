//go:build !linux

package sockopt

import (
	"syscall"
	"time"
)

// UserTimeout returns nil: only Linux has the option.
func UserTimeout(time.Duration) func(network, address string, conn syscall.RawConn) error { return nil }
