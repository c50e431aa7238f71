package kvserver

import (
	"context"

	"github.com/acacialink/acacialink/internal/backing"
)

type storeOp func(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error)

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

func get(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	item, err := s.Get(ctx, in.Key)
	return backing.StoreResponse{Items: []backing.KeyValue{item}}, err
}

func list(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	items, revision, err := s.List(ctx, in.Key)
	return backing.StoreResponse{Items: items, Revision: revision}, err
}

func compareAndSwap(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	revision, err := s.CompareAndSwap(ctx, in.Key, in.Expect, in.Value, in.Lease)
	return backing.StoreResponse{Revision: revision}, err
}

func remove(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	return backing.StoreResponse{}, s.Delete(ctx, in.Key, in.Expect)
}

func watch(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	events, revision, err := s.Watch(ctx, in.Key, in.After, in.Wait)
	return backing.StoreResponse{Events: events, Revision: revision}, err
}

func grant(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	l, err := s.Grant(ctx, in.TTL)
	return backing.StoreResponse{Lease: l}, err
}

func keepAlive(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	l, err := s.KeepAlive(ctx, in.Lease)
	return backing.StoreResponse{Lease: l}, err
}

func revoke(ctx context.Context, s backing.Store, in backing.StoreRequest) (backing.StoreResponse, error) {
	return backing.StoreResponse{}, s.Revoke(ctx, in.Lease)
}
