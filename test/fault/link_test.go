//go:build linux

package fault

import (
	"fmt"
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// link is a TCP path between two processes through a proxy that injects faults.
type link struct {
	t     *testing.T
	name  string
	gate  *gate
	proxy *toxiproxy.Proxy
}

func newLink(t *testing.T, name, upstreamAddress string) *link {
	t.Helper()
	name = t.Name() + "/" + name
	l := &link{t: t, name: name, gate: newGate()}
	gatesByLink.Store(name, l.gate)
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l.proxy = toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstreamAddress)
	if err := l.proxy.Start(); err != nil {
		t.Fatalf("proxy %s: %v", name, err)
	}
	t.Cleanup(func() {
		l.heal()
		l.proxy.Stop()
	})
	for _, d := range []direction{upstream, downstream} {
		l.addToxic("gate", d, fmt.Sprintf(`{"link":%q,"direction":%q}`, name, d))
	}
	return l
}

func (l *link) addToxic(kind string, d direction, attributes string) {
	l.t.Helper()
	body := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, d, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		l.t.Fatalf("toxic %s on %s: %v", kind, l.name, err)
	}
}

// address returns the proxy's listen address.
func (l *link) address() string { return l.proxy.Listen }

// cut blocks both directions without closing connections.
func (l *link) cut() {
	l.gate.setBlocked(upstream, true)
	l.gate.setBlocked(downstream, true)
}

// heal unblocks both directions; blocked bytes are delivered.
func (l *link) heal() {
	l.gate.setBlocked(upstream, false)
	l.gate.setBlocked(downstream, false)
}
