package rpc

import (
	"context"
	"io"

	"github.com/pkg/errors"

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
}

// Fetch returns the KV cache of the request with the given ID. The agent of
// the endpoint listens on address.
func (f *KVFetcher) Fetch(ctx context.Context, address, endpoint, requestID string) ([]byte, error) {
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
		cache = append(cache, chunk.Value...)
	}
}
