//go:build linux && long

package fault

import (
	"context"
	"fmt"
)

// addLatency delays each direction by millis milliseconds, with a jitter of half
// of that.
func (l *link) addLatency(millis int) {
	for _, d := range []direction{upstream, downstream} {
		l.addToxic("latency", d, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, millis, millis/2))
	}
}

// removeLatency removes the delay. Open connections are retained.
func (l *link) removeLatency() {
	for _, d := range []direction{upstream, downstream} {
		if err := l.proxy.Toxics.RemoveToxic(context.Background(), "latency_"+string(d)); err != nil {
			l.t.Errorf("remove latency of %s: %v", l.name, err)
		}
	}
}
