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

// fakeEngine ignores fencing tokens and records the orders it receives.
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
	// delayNext delays the next message. loseNext drops the next answer.
	delayNext, loseNext bool
	delayed             []*wire.OrderRequest
	// lateNext makes the gate answer the next message as late.
	lateNext bool
}

func newTestEnv() *testEnv {
	env := &testEnv{store: kv.New(kv.Options{}), engine: &fakeEngine{}}
	env.restartAgent()
	return env
}

func (env *testEnv) restartAgent() { env.gate = NewGate("e", env.store, env.engine, time.Minute) }

func (env *testEnv) Order(ctx context.Context, _, _ string, m *wire.OrderRequest) (*wire.OrderResponse, error) {
	if env.delayNext {
		env.delayNext = false
		env.delayed = append(env.delayed, m)
		return nil, errors.New("no answer in time")
	}
	if env.lateNext {
		env.lateNext = false
		return env.gate.answer(resultLate, "late"), nil
	}
	answer := env.gate.Execute(ctx, m)
	if env.loseNext {
		env.loseNext = false
		return nil, errors.New("answer lost")
	}
	return answer, nil
}

// deliverDelayed delivers the delayed messages.
func (env *testEnv) deliverDelayed(ctx context.Context) {
	for _, m := range env.delayed {
		env.gate.Execute(ctx, m)
	}
	env.delayed = nil
}

func (env *testEnv) newIssuer(host string) *Issuer {
	return NewIssuer(host, env.store, env, record.NewWriteTokens(host, "1"))
}

func setRole(ctx context.Context, issuer *Issuer, fence int64, role backing.Role) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return issuer.Issue(ctx, Target{Shard: "role/north", Fence: fence, Endpoint: "e"}, backing.Order{Kind: backing.OrderSetRole, Role: role})
}

func TestIssueAppliesOrderOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	defer env.store.Close()
	is.NoErr(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill))
	is.Equal(len(env.engine.applied), 1)
	is.Equal(env.engine.applied[0].Issuer, "a")
	is.Equal(env.engine.applied[0].Fence, int64(1))
}

func TestNextLeaderSettlesUnknownOrderFirst(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	defer env.store.Close()
	env.loseNext = true
	is.True(errors.Is(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill), ErrOutcomeUnknown))
	is.NoErr(setRole(t.Context(), env.newIssuer("b"), 2, backing.RoleDecode))
	is.Equal(len(env.engine.applied), 3)
	is.Equal(env.engine.applied[1].ID, env.engine.applied[0].ID)
	is.Equal(env.engine.applied[1].Role, backing.RolePrefill)
	is.Equal(env.engine.applied[1].Issuer, "b") // Each fencing token has one issuer.
	is.Equal(env.engine.applied[2].Role, backing.RoleDecode)
}

func TestDelayedOrderOfFormerLeaderHasNoEffect(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	defer env.store.Close()
	env.delayNext = true
	is.True(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill) != nil)
	is.NoErr(setRole(t.Context(), env.newIssuer("b"), 2, backing.RoleDecode))
	before := len(env.engine.applied)
	env.restartAgent() // A restarted agent has no state.
	env.deliverDelayed(t.Context())
	is.Equal(len(env.engine.applied), before)
	is.True(errors.Is(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill), ErrNotLeader))
	is.Equal(len(env.engine.applied), before)
}

func TestGateRejectsOrderWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	defer env.store.Close()
	env.delayNext = true
	is.True(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill) != nil)
	env.store.SetDown(true)
	env.deliverDelayed(t.Context())
	is.Equal(len(env.engine.applied), 0)
}

func TestOrderAfterDeadlineHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.delayNext = true
		is.True(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill) != nil)
		env.store.SetDelay(3 * time.Second)
		env.deliverDelayed(t.Context())
		is.Equal(len(env.engine.applied), 0)
		env.store.Close()
	})
}

func TestOrderRejectedByEngineIsSettled(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	defer env.store.Close()
	env.engine.err = backing.ErrRejected
	is.True(errors.Is(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill), ErrRefused))
	env.engine.err = nil
	is.NoErr(setRole(t.Context(), env.newIssuer("a"), 1, backing.RoleDecode))
	is.Equal(len(env.engine.applied), 1)
}

// conflicts returns the number of orders that the engine carried out after an order of
// a newer leader, plus the number of orders that reused the ID of a different order.
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
func runRandom(ctx context.Context, env *testEnv, rnd *rand.Rand) {
	fence := int64(1)
	leaders := map[string]int64{"a": 1}
	names := []string{"a", "b", "c"}
	for range 400 {
		switch rnd.IntN(8) {
		case 0:
			fence++
			leaders[names[rnd.IntN(len(names))]] = fence
		case 1:
			env.delayNext = true
		case 2:
			env.loseNext = true
		case 3:
			env.deliverDelayed(ctx)
		case 4:
			env.restartAgent()
		case 5:
			env.store.LoseNext(1 + rnd.IntN(3))
		case 6:
			env.store.SetDown(rnd.IntN(3) == 0)
		}
		name := names[rnd.IntN(len(names))]
		roles := []backing.Role{backing.RolePrefill, backing.RoleDecode, backing.RoleMixed}
		if f, ok := leaders[name]; ok {
			_ = setRole(ctx, env.newIssuer(name), f, roles[rnd.IntN(len(roles))])
		}
	}
	env.deliverDelayed(ctx)
}

func TestNoConflictingOrdersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv()
			defer env.store.Close()
			runRandom(t.Context(), env, rand.New(rand.NewPCG(seed, 3)))
			is.True(len(env.engine.applied) > 10)
			is.Equal(conflicts(env.engine.applied), 0)
		})
	}
}

func TestConflictsDetectSkippedCheck(t *testing.T) {
	is := is.New(t)
	violations := 0
	for seed := range uint64(10) {
		env := newTestEnv()
		env.gate.faults.skipCheck = true
		rnd := rand.New(rand.NewPCG(seed, 3))
		env.delayNext = true
		_ = setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill)
		_ = setRole(t.Context(), env.newIssuer("b"), 2+int64(rnd.IntN(3)), backing.RoleDecode)
		env.deliverDelayed(t.Context())
		violations += conflicts(env.engine.applied)
		env.store.Close()
	}
	is.True(violations > 0)
}
