package node

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Exchange answers another entry host; each part goes to its package.
func (e *Entry) Exchange(_ context.Context, m *wire.PeerMessage) (*wire.PeerMessage, error) {
	answer := &wire.PeerMessage{From: e.settings.Name, Incarnation: e.incarnation}
	if m.Config != nil {
		answer.Config = e.config.HandleExchange(m.Config)
	}
	if m.Member != nil {
		answer.Member = e.members.HandleExchange(m.From, m.Member, time.Now())
	}
	if m.Quota != nil {
		answer.Quota = e.quota.HandleQuota(m.Quota, m.From)
	}
	if m.Usage != nil {
		answer.Usage = e.keepers.HandleUsage(m.Usage)
	}
	return answer, nil
}
