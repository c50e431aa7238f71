package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/acacialink/acacialink/internal/verdict"
)

// completionRequest is the part of the usual completion bodies that the
// system reads; other fields are accepted and ignored.
type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string or a list of text parts.
type chatContent string

// UnmarshalJSON accepts both forms of content.
func (c *chatContent) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// parseCompletion reads a body. Chat bodies become one prompt, message by message.
func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, badRequest("invalid_json", "the body is not valid JSON for this call: "+err.Error())
	}
	if c.Model == "" {
		return c, badRequest("no_model", "the field model is missing")
	}
	if c.MaxTokens < 0 || c.MaxCompletionTokens < 0 {
		return c, badRequest("invalid_max_tokens", "the field max_tokens must not be negative")
	}
	if c.MaxCompletionTokens > 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	if chat {
		c.Prompt = chatPrompt(c.Messages)
	}
	if c.Prompt == "" {
		return c, badRequest("no_prompt", "the request has no prompt")
	}
	return c, nil
}

func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

func badRequest(code, message string) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, message)
}
