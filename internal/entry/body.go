package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.opts.Timeouts.Body))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.Limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return nil, errBodyTooBig
	}
	return nil, errBodyLost
}
