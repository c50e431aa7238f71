package engine

import (
	"encoding/json"

	"github.com/acacialink/acacialink/internal/platform"
)

// stream writes the lines of one generation.
type stream struct {
	w     *json.Encoder
	flush func() error
}

func (s stream) send(line platform.GenerateLine) error {
	if err := s.w.Encode(line); err != nil {
		return err
	}
	return s.flush()
}

func (s stream) token(t platform.Token) error { return s.send(platform.GenerateLine{Token: &t}) }

func (s stream) beat() error { return s.send(platform.GenerateLine{}) }

func (s stream) end(f platform.Finish, err error) error {
	if err == nil {
		return s.send(platform.GenerateLine{Finish: &f})
	}
	_, body := platform.EncodeError(err)
	return s.send(platform.GenerateLine{Error: &body})
}
