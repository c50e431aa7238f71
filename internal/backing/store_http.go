package backing

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// storeTimeout limits one store call; a watch adds its wait time.
const storeTimeout = 5 * time.Second

// HTTPStore implements Store over HTTP with JSON bodies.
type HTTPStore struct {
	caller Caller
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore returns an adapter that calls the store at the base URL. If client
// is nil, it uses a client with NewTransport.
func NewHTTPStore(base string, client *http.Client, options ...Option) *HTTPStore {
	return &HTTPStore{caller: NewCaller(base, client, options...)}
}

func (s *HTTPStore) call(ctx context.Context, timeout time.Duration, op string, in StoreRequest) (StoreResponse, error) {
	var out StoreResponse
	err := s.caller.postJSON(ctx, timeout, "/v1/store/"+op, in, &out)
	return out, err
}

func (s *HTTPStore) callReadOnly(ctx context.Context, timeout time.Duration, op string, in StoreRequest) (StoreResponse, error) {
	out, err := s.call(ctx, timeout, op, in)
	return out, AsReadError(err)
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (KeyValue, error) {
	out, err := s.callReadOnly(ctx, storeTimeout, "get", StoreRequest{Key: key})
	if err != nil {
		return KeyValue{}, err
	}
	if len(out.Items) != 1 || out.Items[0].Key != key {
		return KeyValue{}, errors.Wrap(ErrUnavailable, "answer to another call")
	}
	return out.Items[0], nil
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]KeyValue, Revision, error) {
	out, err := s.callReadOnly(ctx, storeTimeout, "list", StoreRequest{Key: prefix})
	return out.Items, out.Revision, err
}

// CompareAndSwap implements Store.
func (s *HTTPStore) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error) {
	out, err := s.call(ctx, storeTimeout, "cas", StoreRequest{Key: key, Expect: expect, Value: value, Lease: lease})
	return out.Revision, err
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect Revision) error {
	_, err := s.call(ctx, storeTimeout, "delete", StoreRequest{Key: key, Expect: expect})
	return err
}

// Watch implements Store with a long poll.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	out, err := s.callReadOnly(ctx, storeTimeout+wait, "watch", StoreRequest{Key: prefix, After: after, Wait: wait})
	return out.Events, out.Revision, err
}

// Grant implements Store.
func (s *HTTPStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	out, err := s.call(ctx, storeTimeout, "grant", StoreRequest{TTL: ttl})
	return out.Lease, err
}

// KeepAlive implements Store.
func (s *HTTPStore) KeepAlive(ctx context.Context, id LeaseID) (Lease, error) {
	out, err := s.call(ctx, storeTimeout, "keepalive", StoreRequest{Lease: id})
	return out.Lease, err
}

// Revoke implements Store.
func (s *HTTPStore) Revoke(ctx context.Context, id LeaseID) error {
	_, err := s.call(ctx, storeTimeout, "revoke", StoreRequest{Lease: id})
	return err
}
