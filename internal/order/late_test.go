package order

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
)

// The first delivery may have been carried out although its answer was lost. A "late"
// answer to the repeat must not record the order as refused.
func TestLateAnswerToRepeatLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestEnv()
		s.loseNext = true
		is.True(errors.Is(setRole(t.Context(), s.newIssuer("a"), 1, backing.RolePrefill), ErrOutcomeUnknown))
		is.Equal(len(s.engine.applied), 1)
		s.lateNext = true // the gate can't pass the repeat on before its deadline
		is.True(setRole(t.Context(), s.newIssuer("b"), 2, backing.RoleDecode) != nil)
		is.Equal(len(s.engine.applied), 1)
		kv, err := s.store.Get(t.Context(), Key("e"))
		is.NoErr(err)
		intent, err := record.Decode[Intent](kv)
		is.NoErr(err)
		is.Equal(intent.State, StateIntended)
		is.NoErr(setRole(t.Context(), s.newIssuer("b"), 2, backing.RoleDecode))
		is.Equal(s.engine.applied[1].ID, s.engine.applied[0].ID)
		s.store.Close()
	})
}
