package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// prober is an engine that can tell whether its process runs. It returns
// backing.ErrEnded if it does not.
type prober interface {
	Probe(ctx context.Context) error
}

// probeTimeout bounds one probe of the engine.
const probeTimeout = 200 * time.Millisecond

// engineEnded returns when the engine ended, if it has, else the zero time. All requests
// that an incarnation of the engine had get the same time.
func (a *Agent) engineEnded(ctx context.Context) time.Time {
	engine, ok := a.opts.Engine.(prober)
	if !ok {
		return time.Time{}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	ended := errors.Is(engine.Probe(ctx), backing.ErrEnded)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !ended:
		return time.Time{}
	case a.endedAt.IsZero():
		a.endedAt = time.Now()
	}
	return a.endedAt
}
