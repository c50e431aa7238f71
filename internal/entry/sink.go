package entry

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// responseSink writes the tokens of one response to the caller.
type responseSink interface {
	// writeTokens writes tokens in order. An error means that the caller is
	// disconnected.
	writeTokens(texts []string) error
	// finish completes the response. An error is one of writing to the caller.
	finish(f *wire.Finished) error
	// growth returns the memory that the sink takes beyond what it has to write tokens,
	// and keeps until the response ends.
	growth(texts []string) int
	// started reports whether any part of the response was written.
	started() bool
	// abort writes the error to a started response, without an end marker.
	abort(body ErrorBody)
}

// newSink returns a streaming or a buffered sink, as the request asks for.
func (s *Server) newSink(w http.ResponseWriter, r *http.Request, g *generation, req completionRequest, chat bool) responseSink {
	meta := responseMeta{
		id:      requestID(r),
		created: time.Now().Unix(),
		model:   req.Model,
		chat:    chat,
	}
	if req.Stream {
		return newEventStream(w, meta, s.opts.Timeouts.Write, req.StreamOptions.IncludeUsage)
	}
	return &bufferedResponse{w: w, meta: meta, writeTimeout: s.opts.Timeouts.Write, promptTokens: g.promptTokens}
}

// callerError converts an error of a write to the caller.
func callerError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errCallerStopped
	}
	return errCallerGone
}

// abortCaller aborts the connection of a caller that has disconnected or stopped reading.
func (s *Server) abortCaller(r *http.Request, err error) {
	if errors.Is(err, errCallerStopped) {
		s.logFailure(r, verdict.Wrap(err, verdict.MayHaveRun, http.StatusServiceUnavailable, codeSlowCaller, "the caller reads too slowly"))
	}
	s.stats.CallerDisconnects.Add(1)
	panic(http.ErrAbortHandler)
}

// writeGenerationError reports a failed generation to the caller. A response that has
// already started ends with an error event, without the end marker, and its
// connection is aborted, so that the caller detects the truncation.
func (s *Server) writeGenerationError(w http.ResponseWriter, r *http.Request, g *generation, err error) {
	if r.Context().Err() != nil || errors.Is(err, errCallerGone) {
		s.abortCaller(r, err)
	}
	if !g.sink.started() {
		s.writeError(w, r, err)
		return
	}
	e := verdict.As(err)
	s.countVerdict(e)
	s.logFailure(r, e)
	s.stats.Truncated.Add(1)
	g.sink.abort(errorBody(r, e))
	panic(http.ErrAbortHandler)
}
