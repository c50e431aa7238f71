package host

import (
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/peer"
)

// A member in touch with its delegate gives the control lease up, also while it is
// already releasing it, and never takes it.
func TestMemberLeavesControlLeaseToDelegates(t *testing.T) {
	is := is.New(t)
	h := newEndpointHost()
	h.peerState = func() peer.State { return peer.State{Reachable: []string{"delegate"}} }
	host, ok := h.preferredLeader("")
	is.True(ok)
	is.Equal(host, "delegate")
	h.peerState = func() peer.State { return peer.State{Delegate: true} }
	host, ok = h.preferredLeader("")
	is.True(ok)
	is.Equal(host, h.opts.Settings.Name) // a delegate without a leader takes it
}
