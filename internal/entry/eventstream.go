package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// endMarker ends a whole stream of server-sent events.
const endMarker = "data: [DONE]\n\n"

// eventStream writes an answer as server-sent events, one a token. Tokens
// that arrive together are written together.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	head    answerHead
	write   time.Duration
	usage   bool
	// prefix and suffix stand around each token's text.
	prefix, suffix []byte
	buffer         []byte
	deadline       time.Time
	started        bool
}

func newEventStream(w http.ResponseWriter, head answerHead, write time.Duration, usage bool) *eventStream {
	s := &eventStream{w: w, control: http.NewResponseController(w), head: head, write: write, usage: usage}
	s.prefix = s.eventHead()
	if head.chat {
		s.prefix = append(s.prefix, `"delta":{"content":`...)
		s.suffix = []byte("},\"finish_reason\":null}]}\n\n")
	} else {
		s.prefix = append(s.prefix, `"text":`...)
		s.suffix = []byte(",\"finish_reason\":null}]}\n\n")
	}
	return s
}

// eventHead is an event up to the fields of its only choice.
func (s *eventStream) eventHead() []byte {
	model, _ := json.Marshal(s.head.model)
	b := append([]byte(`data: {"id":"`), s.head.id...)
	b = append(b, `","object":"`...)
	b = append(b, s.head.object(true)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.head.created, 10)
	b = append(b, `,"model":`...)
	b = append(b, model...)
	return append(b, `,"choices":[{"index":0,`...)
}

func (s *eventStream) begun() bool { return s.started }

func (s *eventStream) tokens(texts []string) error {
	s.buffer = s.buffer[:0]
	for _, text := range texts {
		s.buffer = append(s.buffer, s.prefix...)
		s.buffer = appendJSONString(s.buffer, text)
		s.buffer = append(s.buffer, s.suffix...)
	}
	return s.send(s.buffer)
}

func (s *eventStream) send(b []byte) error {
	s.start()
	s.extendDeadline()
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	s.w.WriteHeader(http.StatusOK)
}

// extendDeadline moves the write deadline on, at most once in a tenth of it.
func (s *eventStream) extendDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > s.write*9/10 {
		return
	}
	s.deadline = now.Add(s.write)
	_ = s.control.SetWriteDeadline(s.deadline)
}

func (s *eventStream) finish(f *wire.Finished) {
	b := s.eventHead()
	if s.head.chat {
		b = append(b, `"delta":{},`...)
	} else {
		b = append(b, `"text":"",`...)
	}
	b = append(b, `"finish_reason":`...)
	b = appendJSONString(b, f.Reason)
	b = append(b, "}]}\n\n"...)
	if s.usage {
		b = s.appendUsage(b, f)
	}
	_ = s.send(append(b, endMarker...))
}

func (s *eventStream) appendUsage(b []byte, f *wire.Finished) []byte {
	event, _ := json.Marshal(struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Created int64          `json:"created"`
		Model   string         `json:"model"`
		Choices []answerChoice `json:"choices"`
		Usage   usageBody      `json:"usage"`
	}{s.head.id, s.head.object(true), s.head.created, s.head.model, []answerChoice{}, usageOf(f)})
	b = append(b, "data: "...)
	b = append(b, event...)
	return append(b, "\n\n"...)
}

func (s *eventStream) abort(body ErrorBody) {
	event, _ := json.Marshal(body)
	_ = s.send(append(append([]byte("data: "), event...), "\n\n"...))
}

// appendJSONString appends text as a JSON string; plain ASCII takes the short way.
func appendJSONString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < 0x20 || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
