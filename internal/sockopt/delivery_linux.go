package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a connection that was reset or whose ends are both closed.
const tcpClosed = 7

// Delivery is what the kernel knows of the bytes that were written to a TCP connection.
type Delivery struct {
	// Pending reports that some are not acknowledged and may still be.
	Pending bool
	// SinceAck is the time since the peer last acknowledged anything, a probe too.
	SinceAck time.Duration
}

// DeliveryOf returns the state of a connection's delivery; false if it is not known.
func DeliveryOf(conn syscall.Conn) (Delivery, bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Delivery{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || infoErr != nil {
		return Delivery{}, false
	}
	return Delivery{
		Pending:  info.State != tcpClosed && (info.Unacked > 0 || info.Notsent_bytes > 0),
		SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}
