package record_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/standin/kv"
)

func TestLostAnswerIsRecognised(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	r := record.New[int](store, "k", record.NewMarks("a", "1"))
	is.NoErr(r.Load(t.Context()))
	store.LoseNext(1)
	is.NoErr(r.Swap(t.Context(), 7))
	is.Equal(r.Value(), 7)
	is.NoErr(r.Swap(t.Context(), 8))
}

func TestSecondWriterLoses(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	a := record.New[int](store, "k", record.NewMarks("a", "1"))
	b := record.New[int](store, "k", record.NewMarks("b", "1"))
	is.NoErr(a.Load(t.Context()))
	is.NoErr(b.Load(t.Context()))
	is.NoErr(a.Swap(t.Context(), 1))
	err := b.Swap(t.Context(), 2)
	is.True(errors.Is(err, backing.ErrConflict))
	is.Equal(b.Value(), 1)
	is.NoErr(b.Swap(t.Context(), 2))
}

// cutStore loses its connection after the next write took effect.
type cutStore struct {
	backing.Store
	cut bool
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, lease backing.LeaseID) (backing.Revision, error) {
	_, _ = s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.cut = true
	return 0, backing.ErrUnknown
}

func (s *cutStore) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	if s.cut {
		return backing.KeyValue{}, backing.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func TestUnsettledWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	r := record.New[int](&cutStore{Store: store}, "k", record.NewMarks("a", "1"))
	is.NoErr(r.Load(t.Context()))
	err := r.Swap(t.Context(), 1)
	is.True(errors.Is(err, backing.ErrUnknown))
	is.True(!r.Known())
	is.True(r.Swap(t.Context(), 2) != nil)
}
