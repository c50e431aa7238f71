package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
)

// readBody reads the whole body within the size limit and the body timeout. The
// caller must call release when it is done with the body, also after an error.
// After a failure the read deadline stays set: net/http drains the connection
// before the next request, and a client that sends nothing more would otherwise
// block the error response forever.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.opts.Timeouts.Body))
	interrupted := context.AfterFunc(s.opts.Stop.Interrupted(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer interrupted()
	reader := s.bodies.NewReader(http.MaxBytesReader(w, r.Body, s.opts.Limits.BodyBytes))
	body, err = io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return body, reader.Release, nil
	case errors.As(err, &tooLarge):
		return nil, reader.Release, errBodyTooLarge
	case errors.Is(err, bodybudget.ErrExhausted):
		return nil, reader.Release, errBuffersFull
	default:
		return nil, reader.Release, errBodyIncomplete
	}
}
