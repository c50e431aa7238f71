// Package sockopt sets socket options that package net does not provide.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that sets
// TCP_USER_TIMEOUT, the time that sent data may remain unacknowledged before the
// kernel closes the connection, to d.
func UserTimeout(d time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var sockoptErr error
		err := conn.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
