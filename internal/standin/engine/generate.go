package engine

import (
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

var errCancelled = errors.Wrap(backing.ErrUnknown, "generation was cancelled")

// Generate implements backing.Engine. It replaces a generation in progress that
// has the same ID. Generations with a higher priority are admitted first.
func (e *Engine) Generate(ctx context.Context, g backing.Generation, emit func(backing.Token) error) (backing.Finish, error) {
	s, err := e.enqueue(ctx, g, nil)
	if err != nil {
		return backing.Finish{}, err
	}
	finish, err := e.streamTokens(ctx, s, emit, nil)
	e.recordGenerationEnd(s, err)
	return finish, err
}

// enqueue adds a generation to the queue, or refuses it with an error.
func (e *Engine) enqueue(ctx context.Context, g backing.Generation, header map[string][]string) (*sequence, error) {
	if err := e.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.newSequence(g)
	err := e.checkGeneration(s)
	s.recordNumber = e.recordGeneration(s, header, err)
	if err != nil {
		return nil, err
	}
	e.cancel(g.ID)
	e.arrivals++
	s.arrival = e.arrivals
	position, _ := slices.BinarySearchFunc(e.waiting, s, byPriority)
	e.waiting = slices.Insert(e.waiting, position, s)
	e.startLoop()
	e.recordLoad(s.acceptedAt)
	return s, nil
}

// byPriority orders sequences by descending priority, then by arrival.
func byPriority(a, b *sequence) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// checkGeneration returns an error if the engine cannot run the generation. The
// caller must hold mu.
func (e *Engine) checkGeneration(s *sequence) error {
	g := s.request
	switch {
	case e.faults.Crashed:
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	case e.changingRole:
		return errors.Wrap(backing.ErrUnavailable, "role change in progress")
	case !e.models[g.Model]:
		return errors.Wrapf(backing.ErrRejected, "model %q is not loaded", g.Model)
	case g.Adapter != "" && !e.adapters[adapterName(g.Model, g.Adapter)]:
		return errors.Wrapf(backing.ErrRejected, "adapter %q is not loaded", g.Adapter)
	case s.neededBlocks > e.options.TotalBlocks:
		return errors.Wrap(backing.ErrRejected, "generation exceeds the memory")
	case g.Resume < 0 || (g.Resume > s.outputLength):
		return errors.Wrap(backing.ErrRejected, "resume point is past the end")
	case len(e.waiting) >= e.options.MaxWaiting:
		return errors.Wrap(backing.ErrUnavailable, "queue is full")
	case g.KVHandle != "" && !e.imports.has(g.KVHandle):
		return errors.Wrapf(backing.ErrNotFound, "KV handle %q", g.KVHandle)
	case g.KVHandle != "" && e.imports.coveredTokens(g.KVHandle, s.seed) == 0:
		return errors.Wrapf(backing.ErrRejected, "KV handle %q is of another prompt", g.KVHandle)
	}
	return nil
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// streamTokens passes the tokens of a sequence to emit until the sequence ends.
// While there is no token it calls onHeartbeat, if not nil, every
// heartbeatInterval.
func (e *Engine) streamTokens(ctx context.Context, s *sequence, emit func(backing.Token) error, onHeartbeat func() error) (backing.Finish, error) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		tokens, done := e.takeTokens(s)
		for _, t := range tokens {
			if err := emit(t); err != nil {
				e.abort(s)
				return backing.Finish{}, err
			}
		}
		if done {
			return s.finish, s.err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			e.abort(s)
			return backing.Finish{}, errors.Wrap(backing.ErrUnknown, ctx.Err().Error())
		case <-ticker.C:
			if err := e.sendHeartbeat(onHeartbeat); err != nil {
				e.abort(s)
				return backing.Finish{}, err
			}
		}
	}
}

// sendHeartbeat calls onHeartbeat unless it is nil or the engine is hung.
func (e *Engine) sendHeartbeat(onHeartbeat func() error) error {
	e.mu.Lock()
	hung := e.faults.Hung
	e.mu.Unlock()
	if hung || onHeartbeat == nil {
		return nil
	}
	return onHeartbeat()
}

// takeTokens returns the undelivered tokens and whether they are the last ones.
func (e *Engine) takeTokens(s *sequence) ([]backing.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := s.undelivered
	s.undelivered = nil
	return tokens, s.done
}

// abort ends a sequence whose caller is gone.
func (e *Engine) abort(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.end(errCancelled)
	e.removeEnded()
}

// Cancel implements backing.Engine.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.waitWhileHung(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	e.cancel(id)
	return nil
}

// cancel ends the sequence with the given ID, if any. The caller must hold mu.
func (e *Engine) cancel(id string) {
	if id == "" {
		return
	}
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		if s.request.ID == id {
			s.end(errCancelled)
		}
	}
	e.removeEnded()
}
