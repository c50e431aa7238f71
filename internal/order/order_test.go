package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

// fakeEngine ignores fencing numbers and records the orders it receives.
type fakeEngine struct {
	backing.Engine
	applied []backing.Order
	err     error
}

func (e *fakeEngine) Apply(_ context.Context, o backing.Order) error {
	if e.err != nil {
		return e.err
	}
	e.applied = append(e.applied, o)
	return nil
}

// testEnv simulates one engine behind an agent that may restart, and leaders whose
// messages may be delayed or lost.
type testEnv struct {
	store  *kv.Store
	engine *fakeEngine
	gate   *Gate
	// delayNext delays the next message; loseNext drops the next answer.
	delayNext, loseNext bool
	delayed             []*wire.OrderRequest
	// lateNext makes the gate answer the next message as late.
	lateNext bool
}

func newTestEnv() *testEnv {
	s := &testEnv{store: kv.New(kv.Options{}), engine: &fakeEngine{}}
	s.restartAgent()
	return s
}

func (s *testEnv) restartAgent() { s.gate = NewGate("e", s.store, s.engine, time.Minute) }

func (s *testEnv) Order(ctx context.Context, _, _ string, m *wire.OrderRequest) (*wire.OrderResponse, error) {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, m)
		return nil, errors.New("no answer in time")
	}
	if s.lateNext {
		s.lateNext = false
		return s.gate.answer(resultLate, "late"), nil
	}
	answer := s.gate.Execute(ctx, m)
	if s.loseNext {
		s.loseNext = false
		return nil, errors.New("answer lost")
	}
	return answer, nil
}

// deliverDelayed delivers the delayed messages.
func (s *testEnv) deliverDelayed(ctx context.Context) {
	for _, m := range s.delayed {
		s.gate.Execute(ctx, m)
	}
	s.delayed = nil
}

func (s *testEnv) newIssuer(host string) *Issuer {
	return NewIssuer(host, s.store, s, record.NewWriteTokens(host, "1"))
}

func setRole(ctx context.Context, issuer *Issuer, fence int64, role backing.Role) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return issuer.Issue(ctx, Target{Shard: "role/north", Fence: fence, Endpoint: "e"}, backing.Order{Kind: backing.OrderSetRole, Role: role})
}

func TestIssueAppliesOrderOnce(t *testing.T) {
	is := is.New(t)
	s := newTestEnv()
	defer s.store.Close()
	is.NoErr(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill))
	is.Equal(len(s.engine.applied), 1)
	is.Equal(s.engine.applied[0].Issuer, "a")
	is.Equal(s.engine.applied[0].Fence, int64(1))
}

func TestNextLeaderSettlesUnknownOrderFirst(t *testing.T) {
	is := is.New(t)
	s := newTestEnv()
	defer s.store.Close()
	s.loseNext = true
	is.True(errors.Is(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill), ErrOutcomeUnknown))
	is.NoErr(setRole(t.Context(), s.newIssuer("b"), 2, backing.RoleDecode))
	is.Equal(len(s.engine.applied), 3)
	is.Equal(s.engine.applied[1].ID, s.engine.applied[0].ID)
	is.Equal(s.engine.applied[1].Role, backing.RolePrefill)
	is.Equal(s.engine.applied[1].Issuer, "b") // Each fencing number has one issuer.
	is.Equal(s.engine.applied[2].Role, backing.RoleDecode)
}

func TestDelayedOrderOfFormerLeaderHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := newTestEnv()
	defer s.store.Close()
	s.delayNext = true
	is.True(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill) != nil)
	is.NoErr(setRole(t.Context(), s.newIssuer("b"), 2, backing.RoleDecode))
	before := len(s.engine.applied)
	s.restartAgent() // A restarted agent has no state.
	s.deliverDelayed(t.Context())
	is.Equal(len(s.engine.applied), before)
	is.True(errors.Is(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill), ErrNotLeader))
	is.Equal(len(s.engine.applied), before)
}

func TestGateRejectsOrderWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := newTestEnv()
	defer s.store.Close()
	s.delayNext = true
	is.True(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill) != nil)
	s.store.SetDown(true)
	s.deliverDelayed(t.Context())
	is.Equal(len(s.engine.applied), 0)
}

func TestOrderAfterDeadlineHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEnv()
		s.delayNext = true
		is.True(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill) != nil)
		s.store.SetDelay(3 * time.Second)
		s.deliverDelayed(t.Context())
		is.Equal(len(s.engine.applied), 0)
		s.store.Close()
	})
}

func TestOrderRejectedByEngineIsSettled(t *testing.T) {
	is := is.New(t)
	s := newTestEnv()
	defer s.store.Close()
	s.engine.err = backing.ErrRejected
	is.True(errors.Is(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill), ErrRefused))
	s.engine.err = nil
	is.NoErr(setRole(t.Context(), s.newIssuer("a"), 1, backing.RoleDecode))
	is.Equal(len(s.engine.applied), 1)
}

// conflicts returns the number of orders of an older leader that the engine carried
// out after the first of a newer one, plus that of IDs used for different orders.
func conflicts(applied []backing.Order) int {
	n := 0
	highest := int64(0)
	byID := make(map[string]backing.Role)
	for _, o := range applied {
		if o.Fence < highest {
			n++
		}
		highest = max(highest, o.Fence)
		if role, ok := byID[o.ID]; ok && role != o.Role {
			n++
		}
		byID[o.ID] = o.Role
	}
	return n
}

// runRandom issues orders of changing leaders while it injects random faults.
func runRandom(ctx context.Context, s *testEnv, rnd *rand.Rand) {
	fence := int64(1)
	leaders := map[string]int64{"a": 1}
	names := []string{"a", "b", "c"}
	for range 400 {
		switch rnd.IntN(8) {
		case 0:
			fence++
			leaders[names[rnd.IntN(len(names))]] = fence
		case 1:
			s.delayNext = true
		case 2:
			s.loseNext = true
		case 3:
			s.deliverDelayed(ctx)
		case 4:
			s.restartAgent()
		case 5:
			s.store.LoseNext(1 + rnd.IntN(3))
		case 6:
			s.store.SetDown(rnd.IntN(3) == 0)
		}
		name := names[rnd.IntN(len(names))]
		roles := []backing.Role{backing.RolePrefill, backing.RoleDecode, backing.RoleMixed}
		if f, ok := leaders[name]; ok {
			_ = setRole(ctx, s.newIssuer(name), f, roles[rnd.IntN(len(roles))])
		}
	}
	s.deliverDelayed(ctx)
}

func TestNoConflictingOrdersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			s := newTestEnv()
			defer s.store.Close()
			runRandom(t.Context(), s, rand.New(rand.NewPCG(seed, 3)))
			is.True(len(s.engine.applied) > 10)
			is.Equal(conflicts(s.engine.applied), 0)
		})
	}
}

func TestConflictsDetectSkippedCheck(t *testing.T) {
	is := is.New(t)
	violations := 0
	for seed := range uint64(10) {
		s := newTestEnv()
		s.gate.faults.skipCheck = true
		rnd := rand.New(rand.NewPCG(seed, 3))
		s.delayNext = true
		_ = setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill)
		_ = setRole(t.Context(), s.newIssuer("b"), 2+int64(rnd.IntN(3)), backing.RoleDecode)
		s.deliverDelayed(t.Context())
		violations += conflicts(s.engine.applied)
		s.store.Close()
	}
	is.True(violations > 0)
}
