package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxEventBytes is the maximum size of one server-sent event.
const maxEventBytes = 1 << 20

// streamEvent holds the fields of a server-sent event that the client evaluates.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorBody
}

// readStream reads a streamed response. due is the scheduled time of its request.
// want is the requested number of tokens.
func (s *Sample) readStream(body io.Reader, due time.Time, want int) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var last time.Time
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.Complete = s.Tokens == want
			break
		}
		var e streamEvent
		if json.Unmarshal(data, &e) != nil {
			s.Code = "invalid_event"
			break
		}
		if e.Error.Code != "" {
			s.Code, s.Verdict = e.Error.Code, e.Error.Verdict
			break
		}
		if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
			last = s.recordToken(due, last)
		}
	}
	if !s.Complete && s.Code == "" {
		s.Code = "truncated"
	}
	s.summarizeGaps()
}

// recordToken counts a token and returns its arrival time. last is the arrival
// time of the previous token.
func (s *Sample) recordToken(due, last time.Time) time.Time {
	now := time.Now()
	s.Tokens++
	if s.Tokens == 1 {
		s.FirstToken = milliseconds(now.Sub(due))
	} else {
		s.tokenGaps = append(s.tokenGaps, milliseconds(now.Sub(last)))
	}
	return now
}

// summarizeGaps sets GapP95 and GapMax. It sorts tokenGaps.
func (s *Sample) summarizeGaps() {
	if len(s.tokenGaps) == 0 {
		return
	}
	slices.Sort(s.tokenGaps)
	s.GapP95 = s.tokenGaps[(len(s.tokenGaps)*95+99)/100-1]
	s.GapMax = s.tokenGaps[len(s.tokenGaps)-1]
}
