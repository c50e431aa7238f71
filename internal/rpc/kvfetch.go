package rpc

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// ErrTooLarge means that a KV cache is larger than its bound.
var ErrTooLarge = errors.New("KV cache is too large")

// KVFetcher fetches KV caches from agents, each on a connection of its own,
// so that a large one delays no other message.
type KVFetcher struct {
	// Dialer returns the dialer for the agent of an endpoint.
	Dialer func(endpoint string) *Dialer
	// MaxBytes bounds one KV cache.
	MaxBytes int
}

// FetchKV returns the KV cache of a request at the endpoint of the agent with
// the address.
func (f *KVFetcher) FetchKV(ctx context.Context, address, endpoint, requestID string) ([]byte, error) {
	conn, err := f.Dialer(endpoint).Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCAgentClient(conn).Export(ctx, &wire.ExportRequest{RequestId: requestID})
	if err != nil {
		return nil, errors.Wrap(err, "export")
	}
	var value []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return value, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "receive KV cache")
		}
		if len(value)+len(chunk.Value) > f.MaxBytes {
			return nil, ErrTooLarge
		}
		value = append(value, chunk.Value...)
	}
}
