package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/agent"
	"github.com/acacialink/acacialink/internal/entry"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/acacialink/acacialink/internal/verdict"
)

func TestServerStreamsCompleteChatResponse(t *testing.T) {
	is := is.New(t)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: newEngine(time.Millisecond)}})
	response := host.post(t, "/v1/chat/completions", testKey, chatBody("hello", 50, true))
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusOK)
	is.Equal(response.header.Get(verdict.Header), "ran")
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt("hello"), 50))
}

func TestServerReportsUsageOfBufferedCompletion(t *testing.T) {
	is := is.New(t)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: newEngine(time.Millisecond)}})
	response := host.post(t, "/v1/completions", testKey, `{"model":"`+testModel+`","prompt":"abcdefgh","max_tokens":7}`)
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusOK)
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	is.NoErr(json.Unmarshal(response.body, &completion))
	is.Equal(completion.Choices[0].Text, engine.ExpectedText(testModel, "", "abcdefgh", 7))
	is.Equal(completion.Usage.PromptTokens, 2)
	is.Equal(completion.Usage.CompletionTokens, 7)
}

func TestServerResumesStreamAfterEndpointCrash(t *testing.T) {
	is := is.New(t)
	engines := map[string]*engine.Engine{"engine-1": newEngine(2 * time.Millisecond), "engine-2": newEngine(2 * time.Millisecond)}
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: engines["engine-1"]}, "engine-2": {Engine: engines["engine-2"]}})
	go func() {
		for host.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		engines[busyEndpoint(host)].SetFaults(engine.Faults{Crashed: true})
	}()
	response := host.post(t, "/v1/chat/completions", testKey, chatBody("resume me", 400, true))
	is.NoErr(response.err)
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt("resume me"), 400))
	is.True(host.server.Stats().Resumed.Load() >= 1)
}

// busyEndpoint returns the name of an endpoint with requests in progress.
func busyEndpoint(host *testHost) string {
	for _, c := range host.router.Candidates() {
		if c.OwnWork.Requests > 0 {
			return c.Name
		}
	}
	return "engine-1"
}

func TestAgentDrainLetsStreamsFinish(t *testing.T) {
	is := is.New(t)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: newEngine(2 * time.Millisecond)}, "engine-2": {Engine: newEngine(2 * time.Millisecond)}})
	unfinished := make(chan int, 1)
	go func() {
		for host.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		name := busyEndpoint(host)
		unfinished <- host.agents[name].agent.Drain(context.Background())
		host.agents[name].stop()
	}()
	response := host.post(t, "/v1/chat/completions", testKey, chatBody("drain", 300, true))
	is.NoErr(response.err)
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt("drain"), 300))
	is.Equal(<-unfinished, 0)
	is.Equal(host.server.Stats().Resumed.Load(), int64(0))
}

func TestServerRefusesInvalidRequestsAsNotRun(t *testing.T) {
	backend := newEngine(time.Millisecond)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: backend}})
	cases := []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"no key", "/v1/chat/completions", "", chatBody("x", 1, false), 401, "no_key"},
		{"wrong key", "/v1/chat/completions", "sk-wrong", chatBody("x", 1, false), 401, "invalid_key"},
		{"broken JSON", "/v1/chat/completions", testKey, `{"model":`, 400, "invalid_json"},
		{"no model", "/v1/chat/completions", testKey, `{"messages":[{"role":"user","content":"x"}]}`, 400, "no_model"},
		{"unknown model", "/v1/chat/completions", testKey, `{"model":"nope","messages":[{"role":"user","content":"x"}]}`, 404, "unknown_model"},
		{"no prompt", "/v1/completions", testKey, `{"model":"` + testModel + `"}`, 400, "no_prompt"},
		{"key in the body", "/v1/chat/completions", testKey, chatBody("my key is "+testKey, 1, false), 400, "key_in_request"},
		{"body too large", "/v1/chat/completions", testKey, chatBody(strings.Repeat("x", 2<<20), 1, false), 413, "body_too_large"},
		{"prompt too long", "/v1/completions", testKey, `{"model":"` + testModel + `","prompt":"` + strings.Repeat("x", 500_000) + `"}`, 400, "prompt_too_long"},
		{"unknown path", "/v1/nothing", testKey, "{}", 404, "not_found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response := host.post(t, c.path, c.key, c.body)
			is.NoErr(response.err)
			is.Equal(response.status, c.status)
			is.Equal(response.header.Get(verdict.Header), "not-run")
			var e entry.ErrorBody
			is.NoErr(json.Unmarshal(response.body, &e))
			is.Equal(e.Error.Code, c.code)
			is.Equal(e.Error.RequestID, response.header.Get("X-Request-Id"))
		})
	}
	is := is.New(t)
	is.Equal(len(backend.Record().Generations), 0)
}

func TestServerOmitsEndMarkerOnTruncatedStream(t *testing.T) {
	is := is.New(t)
	backend := newEngine(2 * time.Millisecond)
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: backend}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for host.server.Stats().Tokens.Load() < 20 {
			time.Sleep(time.Millisecond)
		}
		host.agents["engine-1"].stop()
		<-ctx.Done()
	}()
	response := host.post(t, "/v1/chat/completions", testKey, chatBody("broken", 2000, true))
	is.Equal(response.status, http.StatusOK)
	is.True(response.err != nil)
	got := parseStream(t, response.body)
	is.True(!got.done)
	is.True(got.error != "")
	is.Equal(host.server.Stats().Truncated.Load(), int64(1))
}

// TestServerResumesStreamAfterTwoEndpointCrashes checks that a second crash, more than
// Timeouts.BetweenTokens after the first, gets its own resume deadline.
func TestServerResumesStreamAfterTwoEndpointCrashes(t *testing.T) {
	is := is.New(t)
	engines := map[string]*engine.Engine{"engine-1": newEngine(3 * time.Millisecond), "engine-2": newEngine(3 * time.Millisecond)}
	host := newTestHost(t, map[string]agent.Options{"engine-1": {Engine: engines["engine-1"]}, "engine-2": {Engine: engines["engine-2"]}})
	go func() {
		for host.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		first := engines[busyEndpoint(host)]
		first.SetFaults(engine.Faults{Crashed: true})
		time.Sleep(2500 * time.Millisecond)
		first.SetFaults(engine.Faults{})
		time.Sleep(100 * time.Millisecond)
		engines[busyEndpoint(host)].SetFaults(engine.Faults{Crashed: true})
	}()
	response := host.post(t, "/v1/chat/completions", testKey, chatBody("twice", 1500, true))
	is.NoErr(response.err)
	got := parseStream(t, response.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", enginePrompt("twice"), 1500))
	is.True(host.server.Stats().Resumed.Load() >= 2)
}
