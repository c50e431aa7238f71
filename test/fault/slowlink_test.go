//go:build linux && long

package fault

import (
	"context"
	"fmt"
)

// slow delays each direction.
func (l *link) slow(millis int) {
	for _, d := range []direction{upstream, downstream} {
		l.addToxic("latency", d, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, millis, millis/2))
	}
}

// unslow takes the delay away; the link's connections stay.
func (l *link) unslow() {
	for _, d := range []direction{upstream, downstream} {
		if err := l.proxy.Toxics.RemoveToxic(context.Background(), "latency_"+string(d)); err != nil {
			l.t.Errorf("heal %s: %v", l.name, err)
		}
	}
}
