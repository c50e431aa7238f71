package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// responseMeta holds the fields that every chunk of a completion response repeats.
type responseMeta struct {
	id string
	// created is in Unix seconds.
	created int64
	model   string
	chat    bool
}

// object returns the "object" field of a response or of a streamed chunk.
func (m responseMeta) object(streamed bool) string {
	switch {
	case m.chat && streamed:
		return "chat.completion.chunk"
	case m.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// usageObject is the "usage" object of OpenAI-compatible responses. Counts are
// in tokens.
type usageObject struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(f *wire.Finished) usageObject {
	return usageObject{
		PromptTokens:     int(f.PromptTokens),
		CompletionTokens: int(f.OutputTokens),
		TotalTokens:      int(f.PromptTokens + f.OutputTokens),
		Details:          promptDetails{CachedTokens: int(f.CachedTokens)},
	}
}

// completionHead holds the fields of a response that is not streamed before its choice.
type completionHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// bufferedResponse collects the output and sends it as one JSON body.
type bufferedResponse struct {
	w            http.ResponseWriter
	meta         responseMeta
	writeTimeout time.Duration
	promptTokens int
	text         keptText
}

func (b *bufferedResponse) writeTokens(texts []string) error {
	for _, text := range texts {
		b.text.add(text)
	}
	return nil
}

// growth implements responseSink: the text, and the buffer through which it is written.
func (b *bufferedResponse) growth(texts []string) int {
	n := textBytes(texts)
	return b.text.growth(n) + writeBytes(b.text.length+n) - writeBytes(b.text.length)
}

func (b *bufferedResponse) started() bool { return false }

func (b *bufferedResponse) abort(ErrorBody) {}

func (b *bufferedResponse) finish(f *wire.Finished) error {
	_ = http.NewResponseController(b.w).SetWriteDeadline(time.Now().Add(b.writeTimeout))
	b.w.Header().Set("Content-Type", "application/json")
	b.w.Header().Set(verdict.Header, verdict.Ran.String())
	beforeText, afterText := b.frame(f)
	out := jsonWriter{w: b.w}
	out.grow(len(beforeText) + writeBytes(b.text.length) + len(afterText))
	out.raw(beforeText)
	for piece := range b.text.pieces {
		out.text(piece)
	}
	out.raw(afterText)
	out.flush()
	return out.err
}

// frame returns the response before and after its text, with the quotes of the text.
func (b *bufferedResponse) frame(f *wire.Finished) (beforeText, afterText []byte) {
	head, _ := json.Marshal(completionHead{ID: b.meta.id, Object: b.meta.object(false), Created: b.meta.created, Model: b.meta.model})
	beforeText = append(head[:len(head)-1], `,"choices":[{"index":0,`...)
	if b.meta.chat {
		beforeText = append(beforeText, `"message":{"role":"assistant","content":"`...)
		afterText = append(afterText, `"}`...)
	} else {
		beforeText = append(beforeText, `"text":"`...)
		afterText = append(afterText, '"')
	}
	usage, _ := json.Marshal(newUsage(f))
	afterText = append(afterText, `,"finish_reason":`...)
	afterText = appendJSONString(afterText, f.Reason)
	afterText = append(afterText, `}],"usage":`...)
	afterText = append(afterText, usage...)
	return beforeText, append(afterText, "}\n"...)
}
