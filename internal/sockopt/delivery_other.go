//go:build !linux

package sockopt

import (
	"syscall"
	"time"
)

// Delivery is what the kernel knows of the bytes that were written to a TCP connection.
type Delivery struct {
	// Pending reports that some are not acknowledged and may still be.
	Pending bool
	// SinceAck is the time since the peer last acknowledged anything, a probe too.
	SinceAck time.Duration
}

// DeliveryOf returns false, because only Linux tells.
func DeliveryOf(syscall.Conn) (Delivery, bool) { return Delivery{}, false }
