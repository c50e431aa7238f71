package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/acacialink/acacialink/internal/verdict"
)

// sink takes the tokens of one answer and writes them to the caller.
type sink interface {
	// tokens takes tokens in order; an error means that the caller is gone.
	tokens(texts []string) error
	// finish ends the answer whole.
	finish(f *wire.Finished)
	// begun says whether a part of the answer was written.
	begun() bool
	// abort ends an answer that has begun so that it is seen to be broken.
	abort(body ErrorBody)
}

func (s *Server) newSink(w http.ResponseWriter, r *http.Request, g *generation, c completionRequest, chat bool) sink {
	h := answerHead{
		id:      requestID(r),
		created: time.Now().Unix(),
		model:   c.Model,
		chat:    chat,
	}
	if c.Stream {
		return newEventStream(w, h, s.opts.Timeouts.Write, c.StreamOptions.IncludeUsage)
	}
	return &wholeAnswer{w: w, head: h, write: s.opts.Timeouts.Write, promptTokens: g.promptTokens}
}

// failGeneration tells the caller of a failure. An answer that has begun ends
// without its end marker and without a clean end of the transfer.
func (s *Server) failGeneration(w http.ResponseWriter, r *http.Request, g *generation, err error) {
	if r.Context().Err() != nil || errors.Is(err, errCallerGone) {
		s.stats.Gone.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !g.sink.begun() {
		s.fail(w, r, err)
		return
	}
	e := verdict.As(err)
	s.count(e)
	s.logFailure(r, e)
	s.stats.Truncated.Add(1)
	g.sink.abort(errorBody(r, e))
	panic(http.ErrAbortHandler)
}
