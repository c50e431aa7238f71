//go:build !linux

package sockopt

import "syscall"

// Undelivered returns false, because only Linux tells.
func Undelivered(syscall.Conn) bool { return false }
