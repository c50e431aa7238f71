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
	// Ports are taken below the range of the kernel's own choice, so that no
	// outgoing connection takes one while its process is down.
	firstPort = 15_000
	lastPort  = 32_000
	portTries = 1_000
)

// taken holds the addresses given out, since nobody listens on them yet.
var taken sync.Map

// freeAddress returns a loopback address whose port nobody listens on; it
// returns none twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, given := taken.LoadOrStore(address, true); given {
			continue
		}
		return address
	}
	t.Fatal("no free port")
	return ""
}
