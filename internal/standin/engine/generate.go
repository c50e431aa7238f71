package engine

import (
	"context"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

var errCancelled = errors.Wrap(backing.ErrUnknown, "generation was cancelled")

// Generate implements backing.Engine. A second generation with the id of one
// that runs replaces it. Higher priorities go first.
func (e *Engine) Generate(ctx context.Context, g backing.Generation, emit func(backing.Token) error) (backing.Finish, error) {
	s, err := e.start(ctx, g, nil)
	if err != nil {
		return backing.Finish{}, err
	}
	finish, err := e.follow(ctx, s, emit, nil)
	e.recordEnd(s, err)
	return finish, err
}

// start accepts or refuses a generation.
func (e *Engine) start(ctx context.Context, g backing.Generation, header map[string][]string) (*sequence, error) {
	if err := e.holdIfHung(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.newSequence(g)
	err := e.check(s)
	s.number = e.recordStart(s, header, err)
	if err != nil {
		return nil, err
	}
	e.cancel(g.ID)
	e.arrivals++
	s.arrival = e.arrivals
	place, _ := slices.BinarySearchFunc(e.waiting, s, byPriority)
	e.waiting = slices.Insert(e.waiting, place, s)
	e.startLoop()
	e.report(s.since)
	return s, nil
}

// byPriority orders by higher priority and then by arrival.
func byPriority(a, b *sequence) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// check refuses what the engine cannot run. Called with mu held.
func (e *Engine) check(s *sequence) error {
	g := s.request
	switch {
	case e.faults.Crashed:
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	case e.changing:
		return errors.Wrap(backing.ErrUnavailable, "role change in progress")
	case !e.models[g.Model]:
		return errors.Wrapf(backing.ErrRejected, "model %q is not loaded", g.Model)
	case g.Adapter != "" && !e.adapters[adapterName(g.Model, g.Adapter)]:
		return errors.Wrapf(backing.ErrRejected, "adapter %q is not loaded", g.Adapter)
	case s.need > e.options.TotalPieces:
		return errors.Wrap(backing.ErrRejected, "generation exceeds the memory")
	case g.Resume < 0 || (g.Resume > s.length):
		return errors.Wrap(backing.ErrRejected, "resume point is past the end")
	case len(e.waiting) >= e.options.MaxWaiting:
		return errors.Wrap(backing.ErrUnavailable, "queue is full")
	case g.KVHandle != "" && !e.imports.has(g.KVHandle):
		return errors.Wrapf(backing.ErrNotFound, "KV handle %q", g.KVHandle)
	case g.KVHandle != "" && e.imports.covered(g.KVHandle, s.seed) == 0:
		return errors.Wrapf(backing.ErrRejected, "KV handle %q is of another prompt", g.KVHandle)
	}
	return nil
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// follow hands the tokens of a sequence to emit until it ends. beat, when not
// nil, is called once a heartbeat while there is no token.
func (e *Engine) follow(ctx context.Context, s *sequence, emit func(backing.Token) error, beat func() error) (backing.Finish, error) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		tokens, done := e.take(s)
		for _, t := range tokens {
			if err := emit(t); err != nil {
				e.stop(s)
				return backing.Finish{}, err
			}
		}
		if done {
			return s.finish, s.err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			e.stop(s)
			return backing.Finish{}, errors.Wrap(backing.ErrUnknown, ctx.Err().Error())
		case <-heartbeat.C:
			if err := e.beat(beat); err != nil {
				e.stop(s)
				return backing.Finish{}, err
			}
		}
	}
}

func (e *Engine) beat(beat func() error) error {
	e.mu.Lock()
	hung := e.faults.Hung
	e.mu.Unlock()
	if hung || beat == nil {
		return nil
	}
	return beat()
}

// take returns the tokens not yet taken and whether they are the last.
func (e *Engine) take(s *sequence) ([]backing.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := s.out
	s.out = nil
	return tokens, s.done
}

// stop ends a sequence whose caller is gone.
func (e *Engine) stop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.end(errCancelled)
	e.removeEnded()
}

// Cancel implements backing.Engine.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.holdIfHung(ctx); err != nil {
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

// cancel ends the sequence with the id, if any. Called with mu held.
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
