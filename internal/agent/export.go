package agent

import (
	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// kvChunkBytes is the size of one part of a KV cache on its way.
const kvChunkBytes = 1 << 20

// errNoEngine refuses KV caches at plain services.
var errNoEngine = errors.New("the endpoint is no model engine")

// Export streams the KV cache of a generation to another agent. It is allowed
// during a drain, since it lets running work go on elsewhere.
func (a *Agent) Export(m *wire.ExportRequest, stream wire.DRPCAgent_ExportStream) error {
	if a.opts.Engine == nil {
		return errNoEngine
	}
	value, err := a.opts.Engine.ExportKV(stream.Context(), m.RequestId)
	if err != nil {
		return errors.Wrap(err, "export")
	}
	for len(value) > 0 {
		n := min(len(value), kvChunkBytes)
		if err := stream.Send(&wire.KvChunk{Value: value[:n]}); err != nil {
			return errors.Wrap(err, "send")
		}
		value = value[n:]
	}
	return nil
}
