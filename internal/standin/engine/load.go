package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// samplesPerLag is the number of load samples retained per Options.LoadLag.
const samplesPerLag = 10

// loadHistory holds past load samples, oldest first.
type loadHistory []loadSample

// loadSample is the load of the engine at one time.
type loadSample struct {
	at   time.Time
	load backing.EngineLoad
}

// recordLoad appends the current load to the history, replaces the last sample
// if it is too close to the one before it, and drops samples no longer needed.
// The caller must hold mu.
func (e *Engine) recordLoad(now time.Time) {
	spacing := e.options.LoadLag / samplesPerLag
	if n := len(e.loadHistory); n > 1 && now.Sub(e.loadHistory[n-2].at) < spacing {
		e.loadHistory = e.loadHistory[:n-1]
	}
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: e.currentLoad()})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.options.LoadLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

// currentLoad returns the load now. The caller must hold mu.
func (e *Engine) currentLoad() backing.EngineLoad {
	load := backing.EngineLoad{
		Role:        e.role,
		Models:      slices.Sorted(maps.Keys(e.models)),
		Adapters:    slices.Sorted(maps.Keys(e.adapters)),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		FreeBlocks:  e.blocks.free(),
		TotalBlocks: e.options.TotalBlocks,
		Ready:       !e.changingRole && e.executing == 0,
	}
	for _, s := range e.waiting {
		load.WaitingPromptTokens += s.promptTokens
	}
	for _, s := range e.running {
		load.WaitingPromptTokens += s.prefillLeft
	}
	return load
}

// Load implements backing.Engine. It returns the load as it was Options.LoadLag
// ago.
func (e *Engine) Load(ctx context.Context) (backing.EngineLoad, error) {
	if err := e.waitWhileHung(ctx); err != nil {
		return backing.EngineLoad{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return backing.EngineLoad{}, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	now := time.Now()
	e.recordLoad(now)
	oldest := e.loadHistory[0]
	load := oldest.load
	load.Age = min(now.Sub(oldest.at), e.options.LoadLag)
	return load, nil
}
