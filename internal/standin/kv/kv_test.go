package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/kv"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestCompareAndSwapRequiresExpectedRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := kv.New(kv.Options{})
	first, err := s.CompareAndSwap(ctx, "config/head", 0, []byte("1"), 0)
	is.NoErr(err)
	_, err = s.CompareAndSwap(ctx, "config/head", 0, []byte("2"), 0)
	is.True(errors.Is(err, backing.ErrConflict))
	_, err = s.CompareAndSwap(ctx, "config/head", first, []byte("2"), 0)
	is.NoErr(err)
	is.True(errors.Is(s.Delete(ctx, "config/head", first), backing.ErrConflict))
	item, err := s.Get(ctx, "config/head")
	is.NoErr(err)
	is.Equal(string(item.Value), "2")
	big := make([]byte, backing.MaxValueBytes+1)
	_, err = s.CompareAndSwap(ctx, "big", 0, big, 0)
	is.True(errors.Is(err, backing.ErrRejected))
	is.Equal(s.Counts().ByPrefix["config"][kv.OpCAS], int64(3))
}

func TestLeaseExpiryDeletesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := kv.New(kv.Options{})
		l, err := s.Grant(ctx, 5*time.Second)
		is.NoErr(err)
		_, err = s.CompareAndSwap(ctx, "lease/role", 0, []byte("a"), l.ID)
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		_, err = s.KeepAlive(ctx, l.ID)
		is.NoErr(err)
		time.Sleep(4 * time.Second)
		_, err = s.Get(ctx, "lease/role")
		is.NoErr(err) // renewed at 4 s, so the lease lasts until 9 s
		time.Sleep(2 * time.Second)
		_, err = s.Get(ctx, "lease/role")
		is.True(errors.Is(err, backing.ErrNotFound))
		_, err = s.KeepAlive(ctx, l.ID)
		is.True(errors.Is(err, backing.ErrLeaseExpired))
		_, err = s.CompareAndSwap(ctx, "lease/role", 0, nil, l.ID)
		is.True(errors.Is(err, backing.ErrLeaseExpired))
	})
}

func TestWatchReportsChangesCompactionAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := kv.New(kv.Options{HistoryEvents: 2})
		go func() {
			time.Sleep(3 * time.Second)
			_, _ = s.CompareAndSwap(ctx, "other/x", 0, nil, 0)
			_, _ = s.CompareAndSwap(ctx, "config/a", 0, []byte("v"), 0)
		}()
		start := time.Now()
		events, revision, err := s.Watch(ctx, "config/", 0, time.Minute)
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal(len(events), 1)
		is.Equal(events[0].Key, "config/a")
		is.Equal(revision, backing.Revision(2))
		_, revision, err = s.Watch(ctx, "config/", revision, time.Second)
		is.NoErr(err)
		is.Equal(revision, backing.Revision(2))
		_, err = s.CompareAndSwap(ctx, "config/b", 0, nil, 0)
		is.NoErr(err)
		_, _, err = s.Watch(ctx, "config/", 0, time.Second)
		is.True(errors.Is(err, backing.ErrCompacted))
		go func() {
			time.Sleep(time.Second)
			is.Equal(s.Counts().Waiting, 1)
			s.SetDown(true)
		}()
		_, _, err = s.Watch(ctx, "config/", 3, time.Minute)
		is.True(errors.Is(err, backing.ErrUnavailable))
	})
}

func TestClientFaultsDoNotAffectOtherClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New(kv.Options{})
		north, south := s.Client("north"), s.Client("south")
		north.SetSilent(true)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := north.CompareAndSwap(ctx, "a", 0, nil, 0)
		is.True(errors.Is(err, backing.ErrUnknown))
		_, err = south.Get(context.Background(), "a")
		is.True(errors.Is(err, backing.ErrNotFound)) // a silent store does not execute writes
		south.LoseNext(1)
		_, err = south.CompareAndSwap(context.Background(), "a", 0, nil, 0)
		is.True(errors.Is(err, backing.ErrUnknown))
		_, err = s.Get(context.Background(), "a")
		is.NoErr(err) // a write with a lost answer takes effect
		is.Equal(s.Record()[0].Client, "south")
		is.Equal(s.Counts().Lost, int64(1))
		s.SetDown(true)
		_, err = south.Get(context.Background(), "a")
		is.True(errors.Is(err, backing.ErrUnavailable))
	})
}

func TestRateLimitRefusesExcessCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := kv.New(kv.Options{WritesPerSecond: 2})
		for range 2 {
			_, err := s.Grant(ctx, time.Minute)
			is.NoErr(err)
		}
		_, err := s.Grant(ctx, time.Minute)
		is.True(errors.Is(err, backing.ErrUnavailable))
		time.Sleep(time.Second)
		_, err = s.Grant(ctx, time.Minute)
		is.NoErr(err)
		s.Close()
	})
}
