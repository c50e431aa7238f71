//go:build linux

package fault

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

const (
	// Ports are below the kernel's ephemeral port range, so that no outgoing
	// connection occupies the port of a process that is down.
	firstPort       = 15_000
	lastPort        = 32_000
	maxPortAttempts = 1_000
)

// reservedAddresses holds the addresses that freeAddress has returned. Their
// processes may not listen yet.
var reservedAddresses sync.Map

// freeAddress returns a loopback address with an unused port. It returns each
// address at most once.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, reserved := reservedAddresses.LoadOrStore(address, true); reserved {
			continue
		}
		return address
	}
	t.Fatal("found no free port")
	return ""
}
