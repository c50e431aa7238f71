// Package record keeps one typed value in the platform's store, changed by
// compare-and-swap only. A lost answer is settled by reading back: each write
// carries a mark that is unique to it.
package record

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// ErrDecode means that the stored value cannot be read.
var ErrDecode = errors.New("stored record cannot be read")

// Record is one key of the store as this process last knew it. It is not safe
// for concurrent use.
type Record[T any] struct {
	store    backing.Store
	key      string
	marks    *Marks
	revision backing.Revision
	known    bool
	value    T
}

// stored is the form in the store.
type stored[T any] struct {
	Mark  string `json:"mark"`
	Value T      `json:"value"`
}

// New returns a record that has not been read. A process shares its marks.
func New[T any](store backing.Store, key string, marks *Marks) *Record[T] {
	return &Record[T]{store: store, key: key, marks: marks}
}

// Known says whether Value is the stored one as far as this process knows.
func (r *Record[T]) Known() bool { return r.known }

// Value returns the value as last read or written; the zero value for an
// absent key. The caller does not change what it refers to.
func (r *Record[T]) Value() T { return r.value }

// Forget makes the next use read the record again.
func (r *Record[T]) Forget() {
	r.known = false
	var zero T
	r.value = zero
	r.revision = 0
}

// Load reads the record.
func (r *Record[T]) Load(ctx context.Context) error {
	_, err := r.read(ctx)
	return err
}

// read reads the record and returns its mark.
func (r *Record[T]) read(ctx context.Context) (string, error) {
	r.Forget()
	kv, err := r.store.Get(ctx, r.key)
	if errors.Is(err, backing.ErrNotFound) {
		r.known = true
		return "", nil
	}
	if err != nil {
		return "", errors.Wrapf(err, "read %s", r.key)
	}
	s, err := decode[T](kv)
	if err != nil {
		return "", err
	}
	r.value, r.revision, r.known = s.Value, kv.Revision, true
	return s.Mark, nil
}

// Swap writes next if the stored value is still the one that this process
// knows. It returns nil only once the write is known to have taken effect.
// After an error the record is either known again, with what another wrote,
// or must be loaded; ErrConflict means that another wrote it.
func (r *Record[T]) Swap(ctx context.Context, next T) error {
	if !r.known {
		return errors.Wrapf(backing.ErrConflict, "%s is not loaded", r.key)
	}
	mark := r.marks.Next()
	body, err := json.Marshal(stored[T]{Mark: mark, Value: next})
	if err != nil {
		return errors.Wrapf(err, "encode %s", r.key)
	}
	revision, err := r.store.CompareAndSwap(ctx, r.key, r.revision, body, 0)
	if err == nil {
		r.value, r.revision = next, revision
		return nil
	}
	if errors.Is(err, backing.ErrUnavailable) {
		return errors.Wrapf(err, "write %s", r.key)
	}
	return r.settle(ctx, mark, err)
}

// settle reads back what became of a write whose answer was an error.
func (r *Record[T]) settle(ctx context.Context, mark string, cause error) error {
	found, err := r.read(ctx)
	if err != nil {
		return errors.Wrapf(backing.ErrUnknown, "write %s: %v, then %v", r.key, cause, err)
	}
	if found == mark {
		return nil
	}
	return errors.Wrapf(backing.ErrConflict, "write %s", r.key)
}

// Decode returns the value that a key of the store holds, for one who reads it
// and never writes it.
func Decode[T any](kv backing.KeyValue) (T, error) {
	s, err := decode[T](kv)
	return s.Value, err
}

func decode[T any](kv backing.KeyValue) (stored[T], error) {
	var s stored[T]
	if err := json.Unmarshal(kv.Value, &s); err != nil {
		return s, errors.Wrapf(ErrDecode, "%s: %v", kv.Key, err)
	}
	return s, nil
}
