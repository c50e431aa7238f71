package kv

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/platform"
	"github.com/pkg/errors"
)

// Client is one client's view of a store. Its faults cut off this client
// alone.
type Client struct {
	*Faults
	name   string
	store  *Store
	shared *Faults
}

var _ platform.Store = (*Client)(nil)

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	var item platform.KeyValue
	err := c.call(ctx, OpGet, key, func(s *Store) error {
		found, ok := s.keys[key]
		if !ok {
			return platform.ErrNotFound
		}
		item = found
		item.Value = bytes.Clone(found.Value)
		return nil
	})
	if err != nil {
		return platform.KeyValue{}, err
	}
	return item, nil
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.KeyValue, platform.Revision, error) {
	var items []platform.KeyValue
	var revision platform.Revision
	err := c.call(ctx, OpList, prefix, func(s *Store) error {
		revision = s.revision
		for key, item := range s.keys {
			if strings.HasPrefix(key, prefix) {
				item.Value = bytes.Clone(item.Value)
				items = append(items, item)
			}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	slices.SortFunc(items, func(a, b platform.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items, revision, nil
}

// CompareAndSwap implements platform.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, id platform.LeaseID) (platform.Revision, error) {
	var revision platform.Revision
	err := c.call(ctx, OpCAS, key, func(s *Store) error {
		if key == "" || len(value) > platform.MaxValueBytes {
			return errors.Wrap(platform.ErrRejected, "empty key or value above 1 MB")
		}
		if id != 0 && s.liveLease(id) == nil {
			return platform.ErrLeaseExpired
		}
		if s.keys[key].Revision != expect {
			return platform.ErrConflict
		}
		revision = s.put(c.name, key, value, id)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements platform.Store. An absent key has the revision zero.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Revision) error {
	return c.call(ctx, OpDelete, key, func(s *Store) error {
		item, ok := s.keys[key]
		if item.Revision != expect {
			return platform.ErrConflict
		}
		if ok {
			s.remove(c.name, key, false)
		}
		return nil
	})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	var granted platform.Lease
	err := c.call(ctx, OpGrant, "", func(s *Store) error {
		if ttl <= 0 {
			return errors.Wrap(platform.ErrRejected, "lease without a duration")
		}
		granted = platform.Lease{ID: s.grant(ttl).id, TTL: ttl}
		return nil
	})
	if err != nil {
		return platform.Lease{}, err
	}
	return granted, nil
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) (platform.Lease, error) {
	var renewed platform.Lease
	err := c.call(ctx, OpKeepAlive, "", func(s *Store) error {
		l := s.liveLease(id)
		if l == nil {
			return platform.ErrLeaseExpired
		}
		s.renew(l)
		renewed = platform.Lease{ID: id, TTL: l.ttl}
		return nil
	})
	if err != nil {
		return platform.Lease{}, err
	}
	return renewed, nil
}

// Revoke implements platform.Store. An unknown lease is platform.ErrNotFound.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, OpRevoke, "", func(s *Store) error {
		l := s.liveLease(id)
		if l == nil {
			return platform.ErrNotFound
		}
		s.endLease(l, false)
		return nil
	})
}
