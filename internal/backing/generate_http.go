package backing

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// streamIdleTimeout is how long a stream may stay without a line; an
	// engine sends heartbeat lines more often.
	streamIdleTimeout = 5 * time.Second
	maxLineBytes      = 64 << 10
)

var errStreamIdle = errors.New("stream is silent")

// Generate implements Engine. A call that gets an error status had no effect.
func (e *HTTPEngine) Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return Finish{}, errors.Wrap(ErrRejected, err.Error())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(headerTimeout, func() { cancel(errStreamIdle) })
	defer idle.Stop()
	req, sent, err := newRequest(ctx, http.MethodPost, e.caller.base+"/v1/generate", body)
	if err != nil {
		return Finish{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.caller.client.Do(req)
	if err != nil {
		return Finish{}, e.caller.failed(sent, causeOf(ctx, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
		return Finish{}, decodeError(resp.StatusCode, refusal)
	}
	s := generateStream{next: g.Resume, idle: idle, emit: emit}
	finish, err := s.read(resp.Body)
	if err != nil && s.broken {
		e.caller.client.CloseIdleConnections()
		return Finish{}, &callError{kind: ErrUnknown, cause: causeOf(ctx, err)}
	}
	return finish, err
}

// causeOf returns why ctx was cancelled, or err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// generateStream reads the lines of one generation.
type generateStream struct {
	// next is the index that the next token must have.
	next    int
	emitted bool
	idle    *time.Timer
	emit    func(Token) error
	// broken is true when the stream failed, not its content or emit.
	broken bool
}

func (s *generateStream) read(body io.Reader) (Finish, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for {
		s.idle.Reset(streamIdleTimeout)
		if !lines.Scan() {
			s.broken = true
			return Finish{}, endOfStream(lines.Err())
		}
		s.idle.Stop()
		var line GenerateLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			s.broken = true
			return Finish{}, err
		}
		finish, err := s.take(line)
		if finish != nil || err != nil {
			return orZero(finish), err
		}
	}
}

// take handles one line; it returns Finish for the last one.
func (s *generateStream) take(line GenerateLine) (*Finish, error) {
	switch {
	case line.Error != nil:
		return nil, s.failure(*line.Error)
	case line.Finish != nil:
		return line.Finish, nil
	case line.Token == nil:
		return nil, nil
	case line.Token.Index != s.next:
		return nil, errors.Wrapf(ErrUnknown, "token %d in place of %d", line.Token.Index, s.next)
	}
	s.next++
	s.emitted = true
	return nil, s.emit(*line.Token)
}

// failure is what the engine's error means: before the first token it may say
// that the generation did not start, later the outcome is unknown.
func (s *generateStream) failure(body ErrorBody) error {
	err := body.Err()
	if s.emitted && !errors.Is(err, ErrUnknown) {
		return &callError{kind: ErrUnknown, cause: err}
	}
	return err
}

func endOfStream(err error) error {
	if err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func orZero(f *Finish) Finish {
	if f == nil {
		return Finish{}
	}
	return *f
}
