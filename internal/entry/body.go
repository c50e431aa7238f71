package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readBody reads the whole body within the limits of size and time. The caller
// calls release once the body is no longer held, also after an error. After a
// failure the deadline stays: the server reads on for the next request, and a
// caller that says nothing more would hold up the refusal for ever.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.opts.Timeouts.Body))
	reader := &budgetReader{Reader: http.MaxBytesReader(w, r.Body, s.opts.Limits.BodyBytes), budget: &s.bodies}
	body, err = io.ReadAll(reader)
	var tooBig *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, reader.release, nil
	case errors.As(err, &tooBig):
		return nil, reader.release, errBodyTooBig
	case errors.Is(err, errBuffersFull):
		return nil, reader.release, errBuffersFull
	default:
		return nil, reader.release, errBodyLost
	}
}
