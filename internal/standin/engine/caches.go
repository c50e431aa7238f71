package engine

import (
	"context"
	"encoding/binary"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

const (
	// maxCaches bounds the exported and the imported KV caches each.
	maxCaches     = 1_024
	kvHeaderBytes = 16
)

// cache is the KV cache of the first tokens of a prompt and its answer.
type cache struct {
	seed   uint64
	tokens int
}

// caches holds the latest caches by name. The engine's lock guards it.
type caches struct {
	byName map[string]cache
	order  []string
}

func newCaches() *caches { return &caches{byName: make(map[string]cache)} }

func (c *caches) put(name string, value cache) {
	if _, ok := c.byName[name]; !ok {
		c.order = append(c.order, name)
	}
	c.byName[name] = value
	if len(c.order) > maxCaches {
		delete(c.byName, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *caches) has(name string) bool {
	_, ok := c.byName[name]
	return ok
}

// covered is how many tokens the cache covers of the prompt with the seed.
func (c *caches) covered(name string, seed uint64) int {
	value, ok := c.byName[name]
	if !ok || value.seed != seed {
		return 0
	}
	return value.tokens
}

// ExportKV implements backing.Engine.
func (e *Engine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	if err := e.holdIfHung(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed {
		return nil, errors.Wrap(backing.ErrUnavailable, "engine crashed")
	}
	for _, s := range e.running {
		if s.request.ID == id && s.todo == 0 {
			return e.encodeKV(cache{seed: s.seed, tokens: s.prompt + s.next}), nil
		}
	}
	value, ok := e.exports.byName[id]
	if !ok {
		return nil, errors.Wrapf(backing.ErrNotFound, "KV cache of %q", id)
	}
	return e.encodeKV(value), nil
}

// ImportKV implements backing.Engine.
func (e *Engine) ImportKV(ctx context.Context, handle string, value []byte) error {
	if err := e.holdIfHung(ctx); err != nil {
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
	e.imports.put(handle, cache{seed: seed, tokens: tokens})
	return nil
}

// encodeKV returns the header and filler bytes of the cache's size.
func (e *Engine) encodeKV(c cache) []byte {
	value := make([]byte, kvHeaderBytes+c.tokens*e.options.KVBytesPerToken)
	binary.BigEndian.PutUint64(value, c.seed)
	binary.BigEndian.PutUint64(value[8:], uint64(c.tokens))
	return value
}
