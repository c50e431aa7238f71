// Package sockopt sets options of sockets that package net has no name for.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that bounds how long
// written bytes may stay unacknowledged (TCP_USER_TIMEOUT).
func UserTimeout(d time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var failed error
		err := conn.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
