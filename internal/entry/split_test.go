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

// newSplitHost starts a test host with a prefill engine and a decode engine. maxBytes is
// the maximum size of a KV cache transfer.
func newSplitHost(t *testing.T, maxBytes int) *testHost {
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
	return newTestHost(t, agents)
}

func TestServerSplitsPrefillAndDecode(t *testing.T) {
	is := is.New(t)
	host := newSplitHost(t, 64<<20)
	message := strings.Repeat("catalogue ", 4000)
	response := host.post(t, "/v1/chat/completions", testKey, chatBody(message, 40, true))
	is.NoErr(response.err)
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt(message), 40))
	is.Equal(host.server.Stats().Split.Load(), int64(1))
	is.True(host.agents["engine-2"].agent.Stats().PulledKVBytes.Load() > 0)
}

func TestServerUsesOneEndpointWhenKVTransferFails(t *testing.T) {
	is := is.New(t)
	host := newSplitHost(t, 1)
	message := strings.Repeat("catalogue ", 4000)
	response := host.post(t, "/v1/chat/completions", testKey, chatBody(message, 40, true))
	is.NoErr(response.err)
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt(message), 40))
	is.Equal(host.server.Stats().Split.Load(), int64(0))
	is.Equal(host.server.Stats().SplitFailed.Load(), int64(1))
}
