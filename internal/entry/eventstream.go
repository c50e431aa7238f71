package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// streamEndMarker terminates a complete stream. A truncated stream lacks it.
const streamEndMarker = "data: [DONE]\n\n"

// eventStream writes a response as server-sent events, one event per token. Tokens
// that arrive in one message are written and flushed together.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	meta       responseMeta
	// writeTimeout limits the time of one write to the caller.
	writeTimeout time.Duration
	includeUsage bool
	// tokenPrefix and tokenSuffix enclose the escaped text of each token.
	tokenPrefix, tokenSuffix []byte
	out                      jsonWriter
	deadline                 time.Time
	headerWritten            bool
}

func newEventStream(w http.ResponseWriter, meta responseMeta, writeTimeout time.Duration, includeUsage bool) *eventStream {
	s := &eventStream{w: w, controller: http.NewResponseController(w), meta: meta, writeTimeout: writeTimeout, includeUsage: includeUsage, out: jsonWriter{w: w}}
	s.tokenPrefix = s.eventPrefix()
	if meta.chat {
		s.tokenPrefix = append(s.tokenPrefix, `"delta":{"content":"`...)
		s.tokenSuffix = []byte("\"},\"finish_reason\":null}]}\n\n")
	} else {
		s.tokenPrefix = append(s.tokenPrefix, `"text":"`...)
		s.tokenSuffix = []byte("\",\"finish_reason\":null}]}\n\n")
	}
	return s
}

// eventPrefix returns the start of an event, up to the fields of its only choice.
func (s *eventStream) eventPrefix() []byte {
	model, _ := json.Marshal(s.meta.model)
	b := append([]byte(`data: {"id":"`), s.meta.id...)
	b = append(b, `","object":"`...)
	b = append(b, s.meta.object(true)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.meta.created, 10)
	b = append(b, `,"model":`...)
	b = append(b, model...)
	return append(b, `,"choices":[{"index":0,`...)
}

// growth implements responseSink: the buffer. The texts are held by the call that
// received them until they are written.
func (s *eventStream) growth(texts []string) int { return max(0, s.bufferBytes(texts)-cap(s.out.buf)) }

// bufferBytes returns the size of the buffer for the events of the texts.
func (s *eventStream) bufferBytes(texts []string) int {
	frames := len(texts) * (len(s.tokenPrefix) + len(s.tokenSuffix))
	return min(frames+maxEscapedBytes*textBytes(texts), maxWriteBytes)
}

func (s *eventStream) started() bool { return s.headerWritten }

func (s *eventStream) writeTokens(texts []string) error {
	s.begin()
	s.out.grow(s.bufferBytes(texts))
	for _, text := range texts {
		s.out.raw(s.tokenPrefix)
		s.out.text(text)
		s.out.raw(s.tokenSuffix)
	}
	return s.flush()
}

// begin prepares the write of events.
func (s *eventStream) begin() {
	s.writeHeader()
	s.extendDeadline()
}

func (s *eventStream) flush() error {
	s.out.flush()
	if s.out.err != nil {
		return s.out.err
	}
	return s.controller.Flush()
}

func (s *eventStream) writeAndFlush(b []byte) error {
	s.begin()
	s.out.raw(b)
	return s.flush()
}

func (s *eventStream) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	s.w.WriteHeader(http.StatusOK)
}

// extendDeadline renews the write deadline, at most once in a tenth of the write
// timeout.
func (s *eventStream) extendDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > s.writeTimeout*9/10 {
		return
	}
	s.deadline = now.Add(s.writeTimeout)
	_ = s.controller.SetWriteDeadline(s.deadline)
}

func (s *eventStream) finish(f *wire.Finished) error {
	b := s.eventPrefix()
	if s.meta.chat {
		b = append(b, `"delta":{},`...)
	} else {
		b = append(b, `"text":"",`...)
	}
	b = append(b, `"finish_reason":`...)
	b = appendJSONString(b, f.Reason)
	b = append(b, "}]}\n\n"...)
	if s.includeUsage {
		b = s.appendUsage(b, f)
	}
	return s.writeAndFlush(append(b, streamEndMarker...))
}

func (s *eventStream) appendUsage(b []byte, f *wire.Finished) []byte {
	event, _ := json.Marshal(struct {
		ID      string      `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		Model   string      `json:"model"`
		Choices []struct{}  `json:"choices"`
		Usage   usageObject `json:"usage"`
	}{s.meta.id, s.meta.object(true), s.meta.created, s.meta.model, []struct{}{}, newUsage(f)})
	b = append(b, "data: "...)
	b = append(b, event...)
	return append(b, "\n\n"...)
}

func (s *eventStream) abort(body ErrorBody) {
	event, _ := json.Marshal(body)
	_ = s.writeAndFlush(append(append([]byte("data: "), event...), "\n\n"...))
}
