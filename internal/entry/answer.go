package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// answerHead is what all parts of an answer say.
type answerHead struct {
	id      string
	created int64
	model   string
	chat    bool
}

func (h answerHead) object(streamed bool) string {
	switch {
	case h.chat && streamed:
		return "chat.completion.chunk"
	case h.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// usageBody is the usage object of the usual answers, in tokens.
type usageBody struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(f *wire.Finished) usageBody {
	return usageBody{
		PromptTokens:     int(f.PromptTokens),
		CompletionTokens: int(f.OutputTokens),
		TotalTokens:      int(f.PromptTokens + f.OutputTokens),
		Details:          promptDetails{CachedTokens: int(f.CachedTokens)},
	}
}

// answerBody is a whole completion.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   usageBody      `json:"usage"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// wholeAnswer collects an answer that is sent at once.
type wholeAnswer struct {
	w            http.ResponseWriter
	head         answerHead
	write        time.Duration
	promptTokens int
	text         strings.Builder
}

func (a *wholeAnswer) tokens(texts []string) error {
	for _, text := range texts {
		a.text.WriteString(text)
	}
	return nil
}

func (a *wholeAnswer) begun() bool { return false }

func (a *wholeAnswer) abort(ErrorBody) {}

func (a *wholeAnswer) finish(f *wire.Finished) {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(a.write))
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(verdict.Header, verdict.Ran.String())
	_ = json.NewEncoder(a.w).Encode(answerBody{
		ID:      a.head.id,
		Object:  a.head.object(false),
		Created: a.head.created,
		Model:   a.head.model,
		Choices: []answerChoice{a.choice(f)},
		Usage:   usageOf(f),
	})
}

func (a *wholeAnswer) choice(f *wire.Finished) answerChoice {
	text := a.text.String()
	c := answerChoice{FinishReason: f.Reason}
	if a.head.chat {
		c.Message = &answerMessage{Role: "assistant", Content: text}
		return c
	}
	c.Text = &text
	return c
}
