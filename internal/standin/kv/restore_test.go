package kv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

func TestRestoredStoreIsItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New(kv.Options{})
		defer s.Close()
		old, err := s.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		first, err := s.CompareAndSwap(t.Context(), "a", 0, []byte("1"), old.ID)
		is.NoErr(err)
		copied := s.Copy()
		second, err := s.CompareAndSwap(t.Context(), "a", first, []byte("2"), 0)
		is.NoErr(err)
		lost, err := s.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		watch := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(t.Context(), "a", second, time.Hour)
			watch <- err
		}()
		synctest.Wait()
		s.Restore(copied)
		is.True(errors.Is(<-watch, backing.ErrCompacted))
		item, err := s.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(string(item.Value), "1")
		_, err = s.KeepAlive(t.Context(), lost.ID)
		is.True(errors.Is(err, backing.ErrLeaseExpired))
		again, err := s.CompareAndSwap(t.Context(), "b", 0, nil, 0)
		is.NoErr(err)
		is.Equal(again, second)                         // given out again
		_, _, err = s.Watch(t.Context(), "a", first, 0) // of the copy
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		_, err = s.Get(t.Context(), "a")
		is.True(errors.Is(err, backing.ErrNotFound)) // its lease has run out
	})
}
