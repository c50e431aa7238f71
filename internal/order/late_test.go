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
		env := newTestEnv()
		env.loseNext = true
		is.True(errors.Is(setRole(t.Context(), env.newIssuer("a"), 1, backing.RolePrefill), ErrOutcomeUnknown))
		is.Equal(len(env.engine.applied), 1)
		env.lateNext = true // the gate can't pass the repeat on before its deadline
		is.True(setRole(t.Context(), env.newIssuer("b"), 2, backing.RoleDecode) != nil)
		is.Equal(len(env.engine.applied), 1)
		kv, err := env.store.Get(t.Context(), Key("e"))
		is.NoErr(err)
		intent, err := record.Decode[Intent](kv)
		is.NoErr(err)
		is.Equal(intent.State, StateIntended)
		is.NoErr(setRole(t.Context(), env.newIssuer("b"), 2, backing.RoleDecode))
		is.Equal(env.engine.applied[1].ID, env.engine.applied[0].ID)
		env.store.Close()
	})
}
