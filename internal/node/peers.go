package node

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Exchange handles a message from another entry host. Each part of the message is handled
// by its package.
func (e *Entry) Exchange(_ context.Context, request *wire.PeerMessage) (*wire.PeerMessage, error) {
	response := &wire.PeerMessage{From: e.settings.Name, Incarnation: e.incarnation}
	if request.Config != nil {
		response.Config = e.config.HandleExchange(request.Config)
	}
	if request.Member != nil {
		response.Member = e.members.HandleExchange(request.From, request.Member, time.Now())
	}
	if request.Quota != nil {
		response.Quota = e.quota.HandleQuota(request.Quota, request.From)
	}
	if request.Usage != nil {
		response.Usage = e.aggregator.HandleUsage(request.Usage)
	}
	if len(request.Evidence) > 0 {
		e.receiveEvidence(request)
	}
	return response, nil
}
