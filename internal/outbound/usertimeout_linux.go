package outbound

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		millis := int(userTimeout.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	if err != nil {
		return err
	}
	return failed
}
