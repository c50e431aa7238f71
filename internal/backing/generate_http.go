package backing

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/framing"
)

const (
	// streamIdleTimeout is the maximum time between two lines of a stream.
	// Engines send heartbeat lines more often.
	streamIdleTimeout = 5 * time.Second
	maxLineBytes      = 64 << 10
	// maxIdleBytes limits the lines between two tokens: a heartbeat a second for the longest
	// time that a first token may be waited for, an hour, has 11 KB.
	maxIdleBytes = 16 << 10
)

var errStreamIdle = errors.New("stream idle timeout exceeded")

// Generate implements Engine. A request that is answered with an error status
// had no effect.
func (e *HTTPEngine) Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return Finish{}, errors.Wrap(ErrRejected, err.Error())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(headerTimeout, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()
	req, sent, err := e.newConnCaller.newRequest(ctx, http.MethodPost, "/v1/generate", body)
	if err != nil {
		return Finish{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.newConnCaller.client.Do(req)
	sent.headRead()
	reservation := sent.head.reservation
	defer reservation.Release()
	if err != nil {
		return Finish{}, e.newConnCaller.handleTransportError(sent, cancelCause(ctx, err))
	}
	defer resp.Body.Close()
	if !framing.IsFinal(resp.StatusCode) {
		return Finish{}, e.newConnCaller.handleTransportError(sent, framing.ErrStatus)
	}
	if resp.StatusCode != http.StatusOK {
		errBody, _ := io.ReadAll(io.LimitReader(reservation.NewReader(resp.Body), maxLineBytes))
		return Finish{}, decodeError(resp.StatusCode, errBody)
	}
	stream := generateStream{nextIndex: g.Resume, maxTokens: g.MaxTokens, idleTimer: idleTimer, emit: emit, reservation: reservation}
	finish, err := stream.read(reservation.NewReader(framing.NewBody(resp, sent.unannouncedClose)))
	if err != nil && stream.broken {
		e.caller.client.CloseIdleConnections()
		return Finish{}, &callError{kind: ErrUnknown, cause: cancelCause(ctx, err)}
	}
	return finish, err
}

// cancelCause returns the cancellation cause of ctx, or err if there is none.
func cancelCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// generateStream reads the response stream of one generation.
type generateStream struct {
	// nextIndex is the expected index of the next token.
	nextIndex int
	// maxTokens is the number of tokens asked for; 0 for none named.
	maxTokens int
	emitted   bool
	idleTimer *time.Timer
	// reservation is what the stream holds of the budget of answers.
	reservation *bodybudget.Reservation
	// idleBytes is the size of the lines since the last token.
	idleBytes int
	emit      func(Token) error
	// broken is true if the stream itself failed, as opposed to an error that
	// the engine reported or emit returned.
	broken bool
}

func (s *generateStream) read(body io.Reader) (Finish, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for {
		s.idleTimer.Reset(streamIdleTimeout)
		if !lines.Scan() {
			s.broken = true
			return Finish{}, streamEndError(lines.Err())
		}
		s.idleTimer.Stop()
		var line GenerateLine
		if err := s.parse(lines.Bytes(), &line); err != nil {
			s.broken = true
			return Finish{}, err
		}
		finish, err := s.handleLine(line)
		if finish != nil || err != nil {
			return finishOrZero(finish), err
		}
	}
}

// parse decodes one line. Lines without a token may have maxIdleBytes together until the
// next one.
func (s *generateStream) parse(text []byte, line *GenerateLine) error {
	defer s.reservation.Shrink(len(text) + 1)
	if err := json.Unmarshal(text, line); err != nil {
		return err
	}
	if line.Token == nil {
		s.idleBytes += len(text) + 1
		if s.idleBytes > maxIdleBytes {
			return ErrTooLong
		}
		return nil
	}
	s.idleBytes = 0
	if s.maxTokens > 0 && line.Token.Index >= s.maxTokens {
		return ErrTooLong
	}
	return nil
}

// handleLine processes one line. It returns a non-nil Finish for the last line.
func (s *generateStream) handleLine(line GenerateLine) (*Finish, error) {
	switch {
	case line.Error != nil:
		return nil, s.streamError(*line.Error)
	case line.Finish != nil:
		return line.Finish, nil
	case line.Token == nil:
		return nil, nil
	case line.Token.Index != s.nextIndex:
		return nil, errors.Wrapf(ErrUnknown, "received token %d, expected token %d", line.Token.Index, s.nextIndex)
	}
	s.nextIndex++
	s.emitted = true
	return nil, s.emit(*line.Token)
}

// streamError maps an error that the engine reported. Before the first token it
// may mean that the generation did not start; after it, the outcome is unknown.
func (s *generateStream) streamError(body ErrorBody) error {
	err := body.Err()
	if s.emitted && !errors.Is(err, ErrUnknown) {
		return &callError{kind: ErrUnknown, cause: err}
	}
	return err
}

func streamEndError(err error) error {
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return ErrTooLong
	case err != nil:
		return err
	default:
		return io.ErrUnexpectedEOF
	}
}

func finishOrZero(f *Finish) Finish {
	if f == nil {
		return Finish{}
	}
	return *f
}
