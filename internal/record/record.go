// Package record stores a typed value under one key of the platform's store and
// changes it only by compare-and-swap. Each write carries a unique token, so that the
// outcome of a write whose response was lost can be determined by reading the key.
package record

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
)

// ErrDecode means that the stored value cannot be decoded.
var ErrDecode = errors.New("stored record cannot be read")

// Record is this process's cached state of one key in the store. It is not safe for
// concurrent use.
type Record[T any] struct {
	store    backing.Store
	key      string
	tokens   *WriteTokens
	revision backing.Revision // 0 if the key is absent
	loaded   bool             // whether value and revision are valid
	value    T
}

// stored is the JSON form in the store.
type stored[T any] struct {
	// Token is the token of the write that stored the value.
	Token string `json:"mark"`
	Value T      `json:"value"`
}

// New returns a record that is not loaded. All records of a process must share tokens,
// so that the tokens stay unique.
func New[T any](store backing.Store, key string, tokens *WriteTokens) *Record[T] {
	return &Record[T]{store: store, key: key, tokens: tokens}
}

// Loaded reports whether the record is loaded, so that Value is the stored value as far
// as this process knows.
func (r *Record[T]) Loaded() bool { return r.loaded }

// Value returns the value last read or written; the zero value for an absent key. The
// caller must not modify what it refers to.
func (r *Record[T]) Value() T { return r.value }

// Forget discards the cached state. The record must be loaded before the next Swap.
func (r *Record[T]) Forget() {
	r.loaded = false
	var zero T
	r.value = zero
	r.revision = 0
}

// Load reads the record from the store. An absent key loads as the zero value. The
// error wraps ErrDecode if the stored value cannot be decoded.
func (r *Record[T]) Load(ctx context.Context) error {
	_, err := r.read(ctx)
	return err
}

// read loads the record and returns the token of the write that stored it; empty for
// an absent key.
func (r *Record[T]) read(ctx context.Context) (string, error) {
	r.Forget()
	kv, err := r.store.Get(ctx, r.key)
	if errors.Is(err, backing.ErrNotFound) {
		r.loaded = true
		return "", nil
	}
	if err != nil {
		return "", errors.Wrapf(err, "read %s", r.key)
	}
	s, err := decode[T](kv)
	if err != nil {
		return "", err
	}
	r.value, r.revision, r.loaded = s.Value, kv.Revision, true
	return s.Token, nil
}

// Swap writes next if the stored value is still the one that this record has loaded.
// It returns nil only if the write is known to have taken effect. The error wraps
// backing.ErrConflict if another write came first or the record is not loaded,
// backing.ErrUnavailable if the store is unavailable, and backing.ErrUnknown if the
// outcome could not be determined. After a conflict with another write the record
// contains the value of that write; if Loaded returns false, it must be loaded again.
func (r *Record[T]) Swap(ctx context.Context, next T) error {
	if !r.loaded {
		return errors.Wrapf(backing.ErrConflict, "%s is not loaded", r.key)
	}
	token := r.tokens.Next()
	body, err := json.Marshal(stored[T]{Token: token, Value: next})
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
	return r.resolve(ctx, token, err)
}

// resolve determines the outcome of a write that returned cause, by reading the key. It
// returns nil if the stored value has the write's token.
func (r *Record[T]) resolve(ctx context.Context, token string, cause error) error {
	current, err := r.read(ctx)
	if err != nil {
		return errors.Wrapf(backing.ErrUnknown, "write %s: %v, then %v", r.key, cause, err)
	}
	if current == token {
		return nil
	}
	return errors.Wrapf(backing.ErrConflict, "write %s", r.key)
}

// Decode decodes the value of a key without a Record, for readers that never write it.
// The error wraps ErrDecode.
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
