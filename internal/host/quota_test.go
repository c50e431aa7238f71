package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/catalog"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/termination"
)

// newGrantHost returns a host with one workspace of 1,000 tokens a second.
func newGrantHost() *Host {
	h := newEndpointHost()
	h.catalog.Update(1, catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Workspace{{Name: "w", Rate: 1000, Burst: 1000}}, nil))
	h.limiter.Reset(time.Now().Add(-time.Minute)) // no usage of the last window is assumed
	return h
}

func TestDelegateGrantsAndTakesBack(t *testing.T) {
	is := is.New(t)
	h := newGrantHost()
	reserve := func(workspace string, tokens, refundAge int64) *peer.ReserveResponse {
		return h.grant(&peer.ReserveRequest{Host: "m", Reservations: []peer.Reservation{{Workspace: workspace, Tokens: tokens, RefundAgeMillis: refundAge}}})
	}
	is.True(reserve("w", 900, -1).Grants[0].OK)
	refused := reserve("w", 900, -1).Grants[0]
	is.True(!refused.OK && refused.RetryMillis > 0)
	reserve("w", 900, 0) // returned
	is.True(reserve("w", 900, -1).Grants[0].OK)
	is.True(reserve("unknown", 1, -1).NotReady)
	h.termination.Begin(termination.NewPlan(time.Now(), 8*time.Second))
	is.True(reserve("w", 1, -1).NotReady)
}

// A host that becomes a delegate late has not received the usage of the others: it grants
// nothing for a window. One that is a delegate from its start does not wait.
func TestNewDelegateWaitsForAWindow(t *testing.T) {
	is := is.New(t)
	h := newGrantHost()
	q := h.quota
	now := q.startedAt
	is.True(q.complete(now))
	q.trackRole(now, false)
	is.True(!q.complete(now))
	q.trackRole(now.Add(startSettlingTime/2), true)
	is.True(q.complete(now.Add(startSettlingTime / 2)))
	late := now.Add(time.Minute)
	q.trackRole(late, false)
	q.trackRole(late, true)
	is.True(!q.complete(late.Add(q.window - time.Millisecond)))
	is.True(h.grant(&peer.ReserveRequest{}).NotReady)
	is.True(q.complete(late.Add(q.window)))
}

// A member that no delegate answers refuses until it counts as cut off, and then uses the
// share that the delegates set aside for it.
func TestMemberUsesItsShareOnceCutOff(t *testing.T) {
	is := is.New(t)
	h := newGrantHost()
	h.quota.trackRole(time.Now(), false)
	w := h.catalog.Current().Workspaces()["w"]
	is.True(h.group.CutOff()) // it has never reached one
	_, ok := h.quota.Reserve(time.Now(), w, 500)
	is.True(ok)
	is.Equal(h.limiter.Usage()["w"], int64(500)) // which it reports when it comes back
	is.Equal(h.limiter.RecentUsage(time.Now())["w"], int64(500))
}
