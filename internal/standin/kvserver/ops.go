package kvserver

import (
	"context"

	"github.com/acacialink/acacialink/internal/backing"
)

// storeOp executes one operation of the wire format on a store.
type storeOp func(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error)

// storeOps maps the last path segment of a call to its operation.
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

func get(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	item, err := s.Get(ctx, call.Key)
	return backing.StoreResponse{Items: []backing.KeyValue{item}}, err
}

func list(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	items, revision, err := s.List(ctx, call.Key)
	return backing.StoreResponse{Items: items, Revision: revision}, err
}

func compareAndSwap(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	revision, err := s.CompareAndSwap(ctx, call.Key, call.Expect, call.Value, call.Lease)
	return backing.StoreResponse{Revision: revision}, err
}

func remove(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	return backing.StoreResponse{}, s.Delete(ctx, call.Key, call.Expect)
}

func watch(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	events, revision, err := s.Watch(ctx, call.Key, call.After, call.Wait)
	return backing.StoreResponse{Events: events, Revision: revision}, err
}

func grant(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	l, err := s.Grant(ctx, call.TTL)
	return backing.StoreResponse{Lease: l}, err
}

func keepAlive(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	l, err := s.KeepAlive(ctx, call.Lease)
	return backing.StoreResponse{Lease: l}, err
}

func revoke(ctx context.Context, s backing.Store, call backing.StoreRequest) (backing.StoreResponse, error) {
	return backing.StoreResponse{}, s.Revoke(ctx, call.Lease)
}
