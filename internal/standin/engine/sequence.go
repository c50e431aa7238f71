package engine

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// sequence is one generation in the engine. The engine's lock guards it, but
// for its fixed fields.
type sequence struct {
	// Fixed.
	request  backing.Generation
	seed     uint64
	prompt   int
	length   int
	reason   string
	prefixes []uint64
	need     int
	arrival  uint64
	number   int

	// shared is how many leading prefixes the sequence holds in the cache.
	shared int
	// todo is how many tokens are left to prefill, cached how many were not
	// needed.
	todo   int
	cached int
	// next is the index of the next token to generate.
	next int
	// out holds generated tokens that the caller has not taken.
	out     []backing.Token
	started bool
	done    bool
	finish  backing.Finish
	err     error
	// ready is told whenever out, done or err changes.
	ready chan struct{}
	since time.Time
}

func (e *Engine) newSequence(g backing.Generation) *sequence {
	s := &sequence{
		request:  g,
		seed:     Seed(g.Model, g.Adapter, g.Prompt),
		prompt:   backing.Tokens(g.Prompt),
		prefixes: backing.PrefixHashes(g.Model, g.Prompt),
		next:     g.Resume,
		ready:    make(chan struct{}, 1),
		since:    time.Now(),
	}
	s.length, s.reason = e.options.answerLength(g, s.seed)
	if g.PrefillOnly {
		s.length = g.Resume
	}
	s.need = pieces(s.prompt + max(s.length, g.Resume))
	return s
}

func pieces(tokens int) int {
	return (tokens + backing.KVBlockTokens - 1) / backing.KVBlockTokens
}

func (s *sequence) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// end marks the sequence as over.
func (s *sequence) end(err error) {
	if s.done {
		return
	}
	s.done = true
	s.err = err
	s.finish = backing.Finish{
		Reason:       s.reason,
		PromptTokens: s.prompt,
		OutputTokens: s.next,
		CachedTokens: s.cached,
	}
	s.wake()
}
