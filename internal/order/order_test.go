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

// fakeEngine ignores fencing numbers and records what it was told.
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

// site is one engine behind an agent that may be replaced, and holders whose
// messages may be held up on their way.
type site struct {
	store  *kv.Store
	engine *fakeEngine
	gate   *Gate
	// hold keeps the next message back; lose drops the next answer.
	hold, lose bool
	held       []*wire.OrderRequest
	// late makes the gate answer the next message as late.
	late bool
}

func newSite() *site {
	s := &site{store: kv.New(kv.Options{}), engine: &fakeEngine{}}
	s.restartAgent()
	return s
}

func (s *site) restartAgent() { s.gate = NewGate("e", s.store, s.engine, time.Minute) }

func (s *site) Order(ctx context.Context, _, _ string, m *wire.OrderRequest) (*wire.OrderResponse, error) {
	if s.hold {
		s.hold = false
		s.held = append(s.held, m)
		return nil, errors.New("no answer in time")
	}
	if s.late {
		s.late = false
		return s.gate.answer(resultLate, "late"), nil
	}
	answer := s.gate.Order(ctx, m)
	if s.lose {
		s.lose = false
		return nil, errors.New("answer lost")
	}
	return answer, nil
}

// release delivers what was held up.
func (s *site) release(ctx context.Context) {
	for _, m := range s.held {
		s.gate.Order(ctx, m)
	}
	s.held = nil
}

func (s *site) giver(host string) *Giver {
	return NewGiver(host, s.store, s, record.NewWriteTokens(host, "1"))
}

func give(ctx context.Context, g *Giver, fence int64, role backing.Role) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return g.Give(ctx, Target{Piece: "role/north", Fence: fence, Endpoint: "e"}, backing.Order{Kind: backing.OrderSetRole, Role: role})
}

func TestOrderIsDoneOnce(t *testing.T) {
	is := is.New(t)
	s := newSite()
	defer s.store.Close()
	is.NoErr(give(t.Context(), s.giver("a"), 1, backing.RolePrefill))
	is.Equal(len(s.engine.applied), 1)
	is.Equal(s.engine.applied[0].Issuer, "a")
	is.Equal(s.engine.applied[0].Fence, int64(1))
}

func TestSuccessorSettlesTheSameOrderFirst(t *testing.T) {
	is := is.New(t)
	s := newSite()
	defer s.store.Close()
	s.lose = true
	is.True(errors.Is(give(t.Context(), s.giver("a"), 1, backing.RolePrefill), ErrUnsettled))
	is.NoErr(give(t.Context(), s.giver("b"), 2, backing.RoleDecode))
	is.Equal(len(s.engine.applied), 3)
	is.Equal(s.engine.applied[1].ID, s.engine.applied[0].ID)
	is.Equal(s.engine.applied[1].Role, backing.RolePrefill)
	is.Equal(s.engine.applied[1].Issuer, "b") // One issuer to a fencing number.
	is.Equal(s.engine.applied[2].Role, backing.RoleDecode)
}

func TestHeldUpOrderOfAnOldHolderHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := newSite()
	defer s.store.Close()
	s.hold = true
	is.True(give(t.Context(), s.giver("a"), 1, backing.RolePrefill) != nil)
	is.NoErr(give(t.Context(), s.giver("b"), 2, backing.RoleDecode))
	before := len(s.engine.applied)
	s.restartAgent() // An agent that has just started knows nothing.
	s.release(t.Context())
	is.Equal(len(s.engine.applied), before)
	is.True(errors.Is(give(t.Context(), s.giver("a"), 1, backing.RolePrefill), ErrLost))
	is.Equal(len(s.engine.applied), before)
}

func TestAgentActsOnNothingItCannotVerify(t *testing.T) {
	is := is.New(t)
	s := newSite()
	defer s.store.Close()
	s.hold = true
	is.True(give(t.Context(), s.giver("a"), 1, backing.RolePrefill) != nil)
	s.store.SetDown(true)
	s.release(t.Context())
	is.Equal(len(s.engine.applied), 0)
}

func TestLateOrderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		s.hold = true
		is.True(give(t.Context(), s.giver("a"), 1, backing.RolePrefill) != nil)
		s.store.SetDelay(3 * time.Second)
		s.release(t.Context())
		is.Equal(len(s.engine.applied), 0)
		s.store.Close()
	})
}

func TestRefusalByTheEngineEndsTheOrder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	defer s.store.Close()
	s.engine.err = backing.ErrRejected
	is.True(errors.Is(give(t.Context(), s.giver("a"), 1, backing.RolePrefill), ErrRefused))
	s.engine.err = nil
	is.NoErr(give(t.Context(), s.giver("a"), 1, backing.RoleDecode))
	is.Equal(len(s.engine.applied), 1)
}

// conflicts counts orders of an older holder that an engine did after the
// first of a newer one, and IDs that stand for two different orders.
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

// run lets holders come and go for a while with every fault there is.
func run(ctx context.Context, s *site, rnd *rand.Rand) {
	fence := int64(1)
	holders := map[string]int64{"a": 1}
	names := []string{"a", "b", "c"}
	for range 400 {
		switch rnd.IntN(8) {
		case 0:
			fence++
			holders[names[rnd.IntN(len(names))]] = fence
		case 1:
			s.hold = true
		case 2:
			s.lose = true
		case 3:
			s.release(ctx)
		case 4:
			s.restartAgent()
		case 5:
			s.store.LoseNext(1 + rnd.IntN(3))
		case 6:
			s.store.SetDown(rnd.IntN(3) == 0)
		}
		name := names[rnd.IntN(len(names))]
		roles := []backing.Role{backing.RolePrefill, backing.RoleDecode, backing.RoleMixed}
		if f, ok := holders[name]; ok {
			_ = give(ctx, s.giver(name), f, roles[rnd.IntN(len(roles))])
		}
	}
	s.release(ctx)
}

func TestNoConflictingOrdersInAnyInterleaving(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			s := newSite()
			defer s.store.Close()
			run(t.Context(), s, rand.New(rand.NewPCG(seed, 3)))
			is.True(len(s.engine.applied) > 10)
			is.Equal(conflicts(s.engine.applied), 0)
		})
	}
}

func TestTrustingGateIsCaught(t *testing.T) {
	is := is.New(t)
	found := 0
	for seed := range uint64(10) {
		s := newSite()
		s.gate.flaws.trusting = true
		rnd := rand.New(rand.NewPCG(seed, 3))
		s.hold = true
		_ = give(t.Context(), s.giver("a"), 1, backing.RolePrefill)
		_ = give(t.Context(), s.giver("b"), 2+int64(rnd.IntN(3)), backing.RoleDecode)
		s.release(t.Context())
		found += conflicts(s.engine.applied)
		s.store.Close()
	}
	is.True(found > 0)
}
