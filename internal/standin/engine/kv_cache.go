package engine

import (
	"context"
	"encoding/binary"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

const (
	// maxKVCaches is the maximum number of exported and of imported KV caches.
	maxKVCaches = 1_024
	// kvHeaderBytes is the size of the header of an exported KV cache: seed and
	// token count, 8 bytes each.
	kvHeaderBytes = 16
)

// kvCache describes the KV cache of the first tokens of a prompt and its answer.
type kvCache struct {
	seed   uint64
	tokens int
}

// kvCacheSet holds the latest KV caches by name. The engine's mutex guards it.
type kvCacheSet struct {
	byName         map[string]kvCache
	insertionOrder []string
}

func newKVCacheSet() *kvCacheSet { return &kvCacheSet{byName: make(map[string]kvCache)} }

// put adds or replaces a KV cache. It drops the one added first if the set is
// full.
func (c *kvCacheSet) put(name string, value kvCache) {
	if _, ok := c.byName[name]; !ok {
		c.insertionOrder = append(c.insertionOrder, name)
	}
	c.byName[name] = value
	if len(c.insertionOrder) > maxKVCaches {
		delete(c.byName, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}

func (c *kvCacheSet) has(name string) bool {
	_, ok := c.byName[name]
	return ok
}

// coveredTokens returns the number of tokens that the named KV cache covers, or
// zero if it is missing or belongs to another seed.
func (c *kvCacheSet) coveredTokens(name string, seed uint64) int {
	value, ok := c.byName[name]
	if !ok || value.seed != seed {
		return 0
	}
	return value.tokens
}

// ExportKV implements backing.Engine.
func (e *Engine) ExportKV(ctx context.Context, id string) (backing.KVCache, error) {
	if err := e.waitWhileHung(ctx); err != nil {
		return backing.KVCache{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return backing.KVCache{}, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	for _, s := range e.running {
		if s.request.ID == id && s.prefillLeft == 0 {
			return e.encodeKV(kvCache{seed: s.seed, tokens: s.promptTokens + s.nextToken}), nil
		}
	}
	value, ok := e.exports.byName[id]
	if !ok {
		return backing.KVCache{}, errors.Wrapf(backing.ErrNotFound, "KV cache of %q", id)
	}
	return e.encodeKV(value), nil
}

// ImportKV implements backing.Engine.
func (e *Engine) ImportKV(ctx context.Context, handle string, value []byte) error {
	if err := e.waitWhileHung(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	if len(value) < kvHeaderBytes {
		return errors.Wrap(backing.ErrRejected, "KV cache is too short")
	}
	seed := binary.BigEndian.Uint64(value)
	tokens := int(binary.BigEndian.Uint64(value[8:]))
	if len(value) != kvHeaderBytes+tokens*e.options.KVBytesPerToken {
		return errors.Wrap(backing.ErrRejected, "KV cache is truncated")
	}
	e.imports.put(handle, kvCache{seed: seed, tokens: tokens})
	return nil
}

// encodeKV returns the header followed by filler bytes, Options.KVBytesPerToken
// for each token.
func (e *Engine) encodeKV(c kvCache) backing.KVCache {
	value := make([]byte, kvHeaderBytes+c.tokens*e.options.KVBytesPerToken)
	binary.BigEndian.PutUint64(value, c.seed)
	binary.BigEndian.PutUint64(value[8:], uint64(c.tokens))
	return backing.KVCache{Value: value}
}
