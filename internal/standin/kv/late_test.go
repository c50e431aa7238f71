package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

func TestDelayedWriteTakesEffectAfterErrUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := kv.New(kv.Options{})
		s.DelayWrites(1, time.Second)
		_, err := s.CompareAndSwap(ctx, "a", 0, []byte("late"), 0)
		is.True(errors.Is(err, backing.ErrUnknown))
		_, err = s.Get(ctx, "a")
		is.True(errors.Is(err, backing.ErrNotFound))
		time.Sleep(2 * time.Second)
		item, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(string(item.Value), "late")
	})
}
