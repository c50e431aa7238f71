package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/rpc"
	"github.com/acacialink/acacialink/internal/standin/engine"
)

// newSplitSite starts a prefill engine and a decode engine.
func newSplitSite(t *testing.T, maxBytes int) *site {
	t.Helper()
	kv := &rpc.KVFetcher{Dialer: func(string) *rpc.Dialer { return rpc.NewDialer(nil, rpc.Options{}) }, MaxBytes: maxBytes}
	roles := map[string]backing.Role{"engine-1": backing.RolePrefill, "engine-2": backing.RoleDecode}
	agents := make(map[string]agent.Options)
	for name, role := range roles {
		agents[name] = agent.Options{KV: kv, Engine: engine.New(engine.Options{
			Models: []string{testModel}, Role: role, Step: time.Millisecond,
			PerSequence: time.Nanosecond, PrefillRate: 1e7, LoadLag: time.Millisecond,
		})}
	}
	return newSite(t, agents)
}

func TestPromptAndAnswerRunAtDifferentEndpoints(t *testing.T) {
	is := is.New(t)
	s := newSplitSite(t, 64<<20)
	message := strings.Repeat("catalogue ", 4000)
	a := s.post(t, "/v1/chat/completions", testKey, chatBody(message, 40, true))
	is.NoErr(a.err)
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf(message), 40))
	is.Equal(s.server.Stats().Split.Load(), int64(1))
	is.True(s.agents["engine-2"].agent.Stats().Pulled.Load() > 0)
}

func TestAnswerRunsAtOneEndpointWhenTheCacheCannotMove(t *testing.T) {
	is := is.New(t)
	s := newSplitSite(t, 1)
	message := strings.Repeat("catalogue ", 4000)
	a := s.post(t, "/v1/chat/completions", testKey, chatBody(message, 40, true))
	is.NoErr(a.err)
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf(message), 40))
	is.Equal(s.server.Stats().Split.Load(), int64(0))
	is.Equal(s.server.Stats().SplitFailed.Load(), int64(1))
}
