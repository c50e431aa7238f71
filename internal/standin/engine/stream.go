package engine

import (
	"encoding/json"

	"github.com/acacialink/acacialink/internal/backing"
)

// stream writes the response lines of one generation.
type stream struct {
	encoder *json.Encoder
	flush   func() error
}

func (s stream) send(line backing.GenerateLine) error {
	if err := s.encoder.Encode(line); err != nil {
		return err
	}
	return s.flush()
}

func (s stream) token(t backing.Token) error { return s.send(backing.GenerateLine{Token: &t}) }

func (s stream) heartbeat() error { return s.send(backing.GenerateLine{}) }

func (s stream) end(f backing.Finish, err error) error {
	if err == nil {
		return s.send(backing.GenerateLine{Finish: &f})
	}
	_, body := backing.EncodeError(err)
	return s.send(backing.GenerateLine{Error: &body})
}
