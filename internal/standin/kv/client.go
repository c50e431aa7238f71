package kv

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/pkg/errors"
)

// Client is the access of one client to a store. Its faults apply to this client
// alone. It is safe for concurrent use.
type Client struct {
	*Faults
	name        string
	store       *Store
	storeFaults *Faults
}

var _ backing.Store = (*Client)(nil)

// Get implements backing.Store.
func (c *Client) Get(ctx context.Context, key string) (backing.KeyValue, error) {
	var item backing.KeyValue
	err := c.call(ctx, OpGet, key, func(s *Store) error {
		found, ok := s.keys[key]
		if !ok {
			return backing.ErrNotFound
		}
		item = found
		item.Value = bytes.Clone(found.Value)
		return nil
	})
	if err != nil {
		return backing.KeyValue{}, err
	}
	return item, nil
}

// List implements backing.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]backing.KeyValue, backing.Revision, error) {
	var items []backing.KeyValue
	var revision backing.Revision
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
	slices.SortFunc(items, func(a, b backing.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items, revision, nil
}

// CompareAndSwap implements backing.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect backing.Revision, value []byte, id backing.LeaseID) (backing.Revision, error) {
	var revision backing.Revision
	err := c.call(ctx, OpCAS, key, func(s *Store) error {
		if key == "" || len(value) > backing.MaxValueBytes {
			return errors.Wrap(backing.ErrRejected, "empty key or value above 1 MB")
		}
		if id != 0 && s.liveLease(id) == nil {
			return backing.ErrLeaseExpired
		}
		if s.keys[key].Revision != expect {
			return backing.ErrConflict
		}
		revision = s.put(c.name, key, value, id)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements backing.Store. A missing key has revision zero.
func (c *Client) Delete(ctx context.Context, key string, expect backing.Revision) error {
	return c.call(ctx, OpDelete, key, func(s *Store) error {
		item, ok := s.keys[key]
		if item.Revision != expect {
			return backing.ErrConflict
		}
		if ok {
			s.remove(c.name, key, false)
		}
		return nil
	})
}

// Grant implements backing.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (backing.Lease, error) {
	var granted backing.Lease
	err := c.call(ctx, OpGrant, "", func(s *Store) error {
		if ttl <= 0 {
			return errors.Wrap(backing.ErrRejected, "lease without a duration")
		}
		granted = backing.Lease{ID: s.grant(ttl).id, TTL: ttl}
		return nil
	})
	if err != nil {
		return backing.Lease{}, err
	}
	return granted, nil
}

// KeepAlive implements backing.Store.
func (c *Client) KeepAlive(ctx context.Context, id backing.LeaseID) (backing.Lease, error) {
	var renewed backing.Lease
	err := c.call(ctx, OpKeepAlive, "", func(s *Store) error {
		l := s.liveLease(id)
		if l == nil {
			return backing.ErrLeaseExpired
		}
		s.renew(l)
		renewed = backing.Lease{ID: id, TTL: l.ttl}
		return nil
	})
	if err != nil {
		return backing.Lease{}, err
	}
	return renewed, nil
}

// Revoke implements backing.Store. It returns backing.ErrNotFound for an unknown
// lease.
func (c *Client) Revoke(ctx context.Context, id backing.LeaseID) error {
	return c.call(ctx, OpRevoke, "", func(s *Store) error {
		l := s.liveLease(id)
		if l == nil {
			return backing.ErrNotFound
		}
		s.endLease(l, false)
		return nil
	})
}
