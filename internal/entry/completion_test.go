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

func TestStreamedCompletionIsWhole(t *testing.T) {
	is := is.New(t)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: newEngine(time.Millisecond)}})
	a := s.post(t, "/v1/chat/completions", testKey, chatBody("hello", 50, true))
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get(verdict.Header), "ran")
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf("hello"), 50))
}

func TestWholeCompletionCountsTokens(t *testing.T) {
	is := is.New(t)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: newEngine(time.Millisecond)}})
	a := s.post(t, "/v1/completions", testKey, `{"model":"`+testModel+`","prompt":"abcdefgh","max_tokens":7}`)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	is.NoErr(json.Unmarshal(a.body, &answer))
	is.Equal(answer.Choices[0].Text, engine.ExpectedText(testModel, "", "abcdefgh", 7))
	is.Equal(answer.Usage.PromptTokens, 2)
	is.Equal(answer.Usage.CompletionTokens, 7)
}

func TestStreamGoesOnAtAnotherEndpointAfterACrash(t *testing.T) {
	is := is.New(t)
	engines := map[string]*engine.Engine{"engine-1": newEngine(2 * time.Millisecond), "engine-2": newEngine(2 * time.Millisecond)}
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: engines["engine-1"]}, "engine-2": {Engine: engines["engine-2"]}})
	go func() {
		for s.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		engines[busiest(s)].SetFaults(engine.Faults{Crashed: true})
	}()
	a := s.post(t, "/v1/chat/completions", testKey, chatBody("resume me", 400, true))
	is.NoErr(a.err)
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf("resume me"), 400))
	is.True(s.server.Stats().Resumed.Load() >= 1)
}

func busiest(s *site) string {
	for _, c := range s.router.Candidates() {
		if c.Own.Requests > 0 {
			return c.Name
		}
	}
	return "engine-1"
}

func TestAgentDrainCutsNoStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: newEngine(2 * time.Millisecond)}, "engine-2": {Engine: newEngine(2 * time.Millisecond)}})
	left := make(chan int, 1)
	go func() {
		for s.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		name := busiest(s)
		left <- s.agents[name].agent.Drain(context.Background())
		s.agents[name].stop()
	}()
	a := s.post(t, "/v1/chat/completions", testKey, chatBody("drain", 300, true))
	is.NoErr(a.err)
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf("drain"), 300))
	is.Equal(<-left, 0)
	is.Equal(s.server.Stats().Resumed.Load(), int64(0))
}

func TestRefusalsAreNotRun(t *testing.T) {
	one := newEngine(time.Millisecond)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: one}})
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
			a := s.post(t, c.path, c.key, c.body)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get(verdict.Header), "not-run")
			var e entry.ErrorBody
			is.NoErr(json.Unmarshal(a.body, &e))
			is.Equal(e.Error.Code, c.code)
			is.Equal(e.Error.RequestID, a.header.Get("X-Request-Id"))
		})
	}
	is := is.New(t)
	is.Equal(len(one.Record().Generations), 0)
}

func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	one := newEngine(2 * time.Millisecond)
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: one}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for s.server.Stats().Tokens.Load() < 20 {
			time.Sleep(time.Millisecond)
		}
		s.agents["engine-1"].stop()
		<-ctx.Done()
	}()
	a := s.post(t, "/v1/chat/completions", testKey, chatBody("broken", 2000, true))
	is.Equal(a.status, http.StatusOK)
	is.True(a.err != nil)
	got := parseStream(t, a.body)
	is.True(!got.done)
	is.True(got.error != "")
	is.Equal(s.server.Stats().Truncated.Load(), int64(1))
}

// TestStreamSurvivesASecondLossLongAfterTheFirst loses two endpoints further
// apart than a caller may go without a token.
func TestStreamSurvivesASecondLossLongAfterTheFirst(t *testing.T) {
	is := is.New(t)
	engines := map[string]*engine.Engine{"engine-1": newEngine(3 * time.Millisecond), "engine-2": newEngine(3 * time.Millisecond)}
	s := newSite(t, map[string]agent.Options{"engine-1": {Engine: engines["engine-1"]}, "engine-2": {Engine: engines["engine-2"]}})
	go func() {
		for s.server.Stats().Tokens.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		first := engines[busiest(s)]
		first.SetFaults(engine.Faults{Crashed: true})
		time.Sleep(2500 * time.Millisecond)
		first.SetFaults(engine.Faults{})
		time.Sleep(100 * time.Millisecond)
		engines[busiest(s)].SetFaults(engine.Faults{Crashed: true})
	}()
	a := s.post(t, "/v1/chat/completions", testKey, chatBody("twice", 1500, true))
	is.NoErr(a.err)
	got := parseStream(t, a.body)
	is.True(got.done)
	is.Equal(got.text, engine.ExpectedText(testModel, "", promptOf("twice"), 1500))
	is.True(s.server.Stats().Resumed.Load() >= 2)
}
