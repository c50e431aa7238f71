package kvserver

import (
	"context"

	"github.com/acacialink/acacialink/internal/backing"
)

type storeOp func(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error)

// storeOps are the calls by the last part of their path.
var storeOps = map[string]storeOp{
	"get":       get,
	"list":      list,
	"cas":       compareAndSwap,
	"delete":    remove,
	"watch":     watch,
	"grant":     grant,
	"keepalive": keepAlive,
	"revoke":    revoke,
}

func get(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	item, err := s.Get(ctx, in.Key)
	return backing.StoreAnswer{Items: []backing.KeyValue{item}}, err
}

func list(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	items, revision, err := s.List(ctx, in.Key)
	return backing.StoreAnswer{Items: items, Revision: revision}, err
}

func compareAndSwap(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	revision, err := s.CompareAndSwap(ctx, in.Key, in.Expect, in.Value, in.Lease)
	return backing.StoreAnswer{Revision: revision}, err
}

func remove(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	return backing.StoreAnswer{}, s.Delete(ctx, in.Key, in.Expect)
}

func watch(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	events, revision, err := s.Watch(ctx, in.Key, in.After, in.Wait)
	return backing.StoreAnswer{Events: events, Revision: revision}, err
}

func grant(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	l, err := s.Grant(ctx, in.TTL)
	return backing.StoreAnswer{Lease: l}, err
}

func keepAlive(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	l, err := s.KeepAlive(ctx, in.Lease)
	return backing.StoreAnswer{Lease: l}, err
}

func revoke(ctx context.Context, s backing.Store, in backing.StoreCall) (backing.StoreAnswer, error) {
	return backing.StoreAnswer{}, s.Revoke(ctx, in.Lease)
}
