package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/gateway"
)

// judgeInterval is the time between reviews of the evidence on segments, apart from those
// that new evidence triggers.
const judgeInterval = time.Second

// judgeSuspects reviews the evidence on segments until ctx is done.
func (h *Host) judgeSuspects(ctx context.Context) {
	for backing.Pause(ctx, judgeInterval) {
		h.suspects.Judge(time.Now())
	}
}

// confirmTimeout bounds the probe of an endpoint whose entry is gone.
const confirmTimeout = 500 * time.Millisecond

// confirmCrash probes an endpoint whose entry was removed although it did not drain, and
// under which no request was lost. Some endpoints leave like that and go on serving.
func (h *Host) confirmCrash(e *endpoint.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err := h.opts.Ports.Sender.Probe(ctx, e)
	if errors.Is(err, gateway.ErrEndpointDown) || ctx.Err() != nil {
		h.suspects.Refused(time.Now(), e.Key())
	}
}
