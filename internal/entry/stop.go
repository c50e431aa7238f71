package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/termination"
	"github.com/acacialink/acacialink/internal/verdict"
)

const (
	// usualGenerationTime and usualCallTime are the times that requests are taken to last
	// before the server has seen any.
	usualGenerationTime = 5 * time.Second
	usualCallTime       = time.Second
)

// isGeneration reports whether a request is one to a model.
func isGeneration(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/") }

// mayBegin reports whether a request usually ends before a stopping host does.
func (s *Server) mayBegin(r *http.Request) bool {
	if !s.opts.Stop.Stopping() {
		return true
	}
	usual, ok := s.durations.Usual(isGeneration(r))
	if !ok {
		usual = usualCallTime
		if isGeneration(r) {
			usual = usualGenerationTime
		}
	}
	now := time.Now()
	return s.opts.Stop.MayBegin(now, termination.Work{Arrived: now, Usual: usual})
}

// interruptedError returns the error of a request that the end of the host interrupted, and
// err of any other.
func (s *Server) interruptedError(err error) error {
	if s.opts.Stop.Interrupted().Err() == nil || errors.Is(err, errCallerGone) {
		return err
	}
	if verdict.Of(err) == verdict.NotRun {
		return errHostEnding
	}
	return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, errHostEnding.Code, "the host ended before the answer")
}
