package order

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
)

// An order whose first delivery may have been done is not taken for refused
// because its repeat came too late.
func TestLateRepeatSettlesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		s.lose = true
		is.True(errors.Is(give(t.Context(), s.giver("a"), 1, backing.RolePrefill), ErrUnsettled))
		is.Equal(len(s.engine.applied), 1)
		s.late = true // the gate can't pass the repeat on before its deadline
		is.True(give(t.Context(), s.giver("b"), 2, backing.RoleDecode) != nil)
		is.Equal(len(s.engine.applied), 1)
		kv, err := s.store.Get(t.Context(), Key("e"))
		is.NoErr(err)
		intent, err := record.Decode[Intent](kv)
		is.NoErr(err)
		is.Equal(intent.State, StateIntended)
		is.NoErr(give(t.Context(), s.giver("b"), 2, backing.RoleDecode))
		is.Equal(s.engine.applied[1].ID, s.engine.applied[0].ID)
		s.store.Close()
	})
}
