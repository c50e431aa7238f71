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

// A write whose response is lost is found by its token, and the record stays loaded.
func TestSwapRecoversFromLostResponse(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	r := record.New[int](store, "k", record.NewWriteTokens("a", "1"))
	is.NoErr(r.Load(t.Context()))
	store.LoseNext(1)
	is.NoErr(r.Swap(t.Context(), 7))
	is.Equal(r.Value(), 7)
	is.NoErr(r.Swap(t.Context(), 8))
}

// Of two writers at the same revision, the second gets a conflict and loads the value
// of the first, so that it can write again.
func TestSwapConflictLoadsOtherValue(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	a := record.New[int](store, "k", record.NewWriteTokens("a", "1"))
	b := record.New[int](store, "k", record.NewWriteTokens("b", "1"))
	is.NoErr(a.Load(t.Context()))
	is.NoErr(b.Load(t.Context()))
	is.NoErr(a.Swap(t.Context(), 1))
	err := b.Swap(t.Context(), 2)
	is.True(errors.Is(err, backing.ErrConflict))
	is.Equal(b.Value(), 1)
	is.NoErr(b.Swap(t.Context(), 2))
}

// disconnectingStore applies one write and then becomes unavailable, so that neither
// the response nor a later read arrives.
type disconnectingStore struct {
	backing.Store
	disconnected bool
}

func (s *disconnectingStore) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, lease backing.LeaseID) (backing.Revision, error) {
	_, _ = s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	s.disconnected = true
	return 0, backing.ErrUnknown
}

func (s *disconnectingStore) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	if s.disconnected {
		return backing.KeyValue{}, backing.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// If the key cannot be read after a lost response, the outcome is unknown and the
// record must be loaded before the next write.
func TestSwapIsUnknownWithoutReadBack(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{})
	defer store.Close()
	r := record.New[int](&disconnectingStore{Store: store}, "k", record.NewWriteTokens("a", "1"))
	is.NoErr(r.Load(t.Context()))
	err := r.Swap(t.Context(), 1)
	is.True(errors.Is(err, backing.ErrUnknown))
	is.True(!r.Loaded())
	is.True(r.Swap(t.Context(), 2) != nil)
}
