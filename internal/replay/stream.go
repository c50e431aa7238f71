package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxEvent bounds one server-sent event.
const maxEvent = 1 << 20

// event is the part of a server-sent event that is read.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorBody
}

// readStream reads a streamed answer. due is when its request was due, want
// the number of tokens that it asked for.
func (s *Sample) readStream(body io.Reader, due time.Time, want int) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	var last time.Time
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.Whole = s.Tokens == want
			break
		}
		var e event
		if json.Unmarshal(data, &e) != nil {
			s.Code = "invalid_event"
			break
		}
		if e.Error.Code != "" {
			s.Code, s.Verdict = e.Error.Code, e.Error.Verdict
			break
		}
		if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
			last = s.token(due, last)
		}
	}
	if !s.Whole && s.Code == "" {
		s.Code = "truncated"
	}
	s.closeGaps()
}

// token counts a token and returns when it came.
func (s *Sample) token(due, last time.Time) time.Time {
	now := time.Now()
	s.Tokens++
	if s.Tokens == 1 {
		s.First = ms(now.Sub(due))
	} else {
		s.gaps = append(s.gaps, ms(now.Sub(last)))
	}
	return now
}

// closeGaps computes the figures of the gaps between tokens.
func (s *Sample) closeGaps() {
	if len(s.gaps) == 0 {
		return
	}
	slices.Sort(s.gaps)
	s.GapP95 = s.gaps[(len(s.gaps)*95+99)/100-1]
	s.GapMax = s.gaps[len(s.gaps)-1]
}
