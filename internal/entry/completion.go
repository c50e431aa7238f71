package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/acacialink/acacialink/internal/verdict"
)

// completionRequest holds the fields of an OpenAI-compatible completion body that
// the server uses; other fields are accepted and ignored.
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

// chatContent is the text of a message, sent as a string or as a list of text
// parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler. Text parts are concatenated.
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

// parseCompletion decodes and validates a request body. The messages of a chat
// request are joined into one prompt.
func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, badRequest("invalid_json", "the body is not valid JSON for this call: "+err.Error())
	}
	if req.Model == "" {
		return req, badRequest("no_model", "the field model is missing")
	}
	if req.MaxTokens < 0 || req.MaxCompletionTokens < 0 {
		return req, badRequest("invalid_max_tokens", "the field max_tokens must not be negative")
	}
	if req.MaxCompletionTokens > 0 {
		req.MaxTokens = req.MaxCompletionTokens
	}
	if chat {
		req.Prompt = chatPrompt(req.Messages)
	}
	if req.Prompt == "" {
		return req, badRequest("no_prompt", "the request has no prompt")
	}
	return req, nil
}

// chatPrompt renders one "role: content" line per message.
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
