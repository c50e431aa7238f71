package rpc

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// ErrKVCacheTooLarge is returned when a KV cache exceeds KVFetcher.MaxBytes.
var ErrKVCacheTooLarge = errors.New("KV cache is too large")

// KVFetcher fetches KV caches from agents. Each fetch uses a separate
// connection, so that a large KV cache does not delay other messages.
type KVFetcher struct {
	// Dialer returns the dialer for the agent of an endpoint.
	Dialer func(endpoint string) *Dialer
	// MaxBytes is the largest KV cache that is accepted, in bytes.
	MaxBytes int
	// Answers bounds the bytes of KV caches and other answers that the process holds. Nil
	// means no bound.
	Answers *bodybudget.Shares
}

// Fetch returns the KV cache of the request with the given ID. The agent of
// the endpoint listens on address. release must be called once the cache is no
// longer in use; it is never nil.
func (f *KVFetcher) Fetch(ctx context.Context, address, endpoint, requestID string) (cache []byte, release func(), err error) {
	answers := f.Answers
	if answers == nil {
		answers = bodybudget.NewShares(0)
	}
	reservation := answers.NewReservation(endpoint)
	cache, err = f.fetch(ctx, address, endpoint, requestID, reservation)
	if err != nil {
		reservation.Release()
	}
	return cache, reservation.Release, err
}

func (f *KVFetcher) fetch(ctx context.Context, address, endpoint, requestID string, reservation *bodybudget.Reservation) ([]byte, error) {
	conn, err := f.Dialer(endpoint).Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCAgentClient(conn).Export(ctx, &wire.ExportRequest{RequestId: requestID})
	if err != nil {
		return nil, errors.Wrap(err, "export")
	}
	var cache []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return cache, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "receive KV cache")
		}
		if len(cache)+len(chunk.Value) > f.MaxBytes {
			return nil, ErrKVCacheTooLarge
		}
		if reservation.Grow(len(chunk.Value)) != nil {
			return nil, bodybudget.ErrExhausted
		}
		cache = append(cache, chunk.Value...)
	}
}
