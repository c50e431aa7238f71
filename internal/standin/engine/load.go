package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// reportsPerLag is how many reports are kept for one lag.
const reportsPerLag = 10

// reports are past states, oldest first.
type reports []timedReport

type timedReport struct {
	at   time.Time
	load backing.EngineLoad
}

// report notes the state for later load reports. Called with mu held.
func (e *Engine) report(now time.Time) {
	spacing := e.options.LoadLag / reportsPerLag
	if n := len(e.reports); n > 1 && now.Sub(e.reports[n-2].at) < spacing {
		e.reports = e.reports[:n-1]
	}
	e.reports = append(e.reports, timedReport{at: now, load: e.current()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.LoadLag {
		e.reports = e.reports[1:]
	}
}

// current returns the state now. Called with mu held.
func (e *Engine) current() backing.EngineLoad {
	load := backing.EngineLoad{
		Role:        e.role,
		Models:      slices.Sorted(maps.Keys(e.models)),
		Adapters:    slices.Sorted(maps.Keys(e.adapters)),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		FreeBlocks:  e.memory.free(),
		TotalBlocks: e.options.TotalPieces,
		Ready:       !e.changing && e.applying == 0,
	}
	for _, s := range e.waiting {
		load.WaitingPromptTokens += s.prompt
	}
	for _, s := range e.running {
		load.WaitingPromptTokens += s.todo
	}
	return load
}

// Load implements backing.Engine: the state as it was Options.LoadLag ago.
func (e *Engine) Load(ctx context.Context) (backing.EngineLoad, error) {
	if err := e.holdIfHung(ctx); err != nil {
		return backing.EngineLoad{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return backing.EngineLoad{}, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	now := time.Now()
	e.report(now)
	oldest := e.reports[0]
	load := oldest.load
	load.Age = min(now.Sub(oldest.at), e.options.LoadLag)
	return load, nil
}
