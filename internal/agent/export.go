package agent

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// kvChunkBytes is the maximum size of one KvChunk message, in bytes.
const kvChunkBytes = 1 << 20

// errNoEngine is returned for KV cache requests to plain services.
var errNoEngine = errors.New("the endpoint is no model engine")

// Export streams the KV cache of a generation to another agent. It is allowed
// while draining, so that running generations can continue on another endpoint.
func (a *Agent) Export(m *wire.ExportRequest, stream wire.DRPCAgent_ExportStream) error {
	if a.opts.Engine == nil {
		return errNoEngine
	}
	cache, err := a.opts.Engine.ExportKV(stream.Context(), m.RequestId)
	if err != nil {
		return errors.Wrap(err, "export")
	}
	defer cache.Release()
	value := cache.Value
	for len(value) > 0 {
		n := min(len(value), kvChunkBytes)
		if err := stream.Send(&wire.KvChunk{Value: value[:n]}); err != nil {
			return errors.Wrap(err, "send")
		}
		value = value[n:]
	}
	return nil
}
