package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpClosed is the state of a connection that was reset or whose ends are both closed.
	tcpClosed = 7
	// gonePeerTime is the time without any acknowledgement, of a probe too, after which a
	// peer is taken for gone.
	gonePeerTime = 5 * time.Second
)

// Undelivered reports whether the peer of a TCP connection is there and has not acknowledged
// all that was written. It returns false where the kernel does not tell.
func Undelivered(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return false
	}
	gone := info.State == tcpClosed || time.Duration(info.Last_ack_recv)*time.Millisecond >= gonePeerTime
	return !gone && (info.Unacked > 0 || info.Notsent_bytes > 0)
}
