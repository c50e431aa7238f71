package engine

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// sequence is one generation in the engine. The engine's mutex guards it,
// except for its immutable fields.
type sequence struct {
	// Immutable once the sequence is in the queue.
	request      backing.Generation
	seed         uint64
	promptTokens int
	// outputLength is the number of output tokens after which the sequence ends.
	outputLength int
	finishReason string
	// prefixes holds the hash of the prompt prefix up to each full block.
	prefixes []uint64
	// neededBlocks is the number of KV cache blocks for prompt and output.
	neededBlocks int
	arrival      uint64
	recordNumber int

	// sharedBlocks is the number of leading prefixes whose cached blocks the
	// sequence uses.
	sharedBlocks int
	// prefillLeft is the number of tokens still to prefill.
	prefillLeft int
	// cachedTokens is the number of prompt tokens whose prefill was skipped.
	cachedTokens int
	// nextToken is the index of the next token to generate.
	nextToken int
	// undelivered holds the generated tokens not yet passed to the caller.
	undelivered []backing.Token
	// started reports whether the sequence was admitted to the batch.
	started bool
	// done reports whether the sequence has ended; finish and err are then set.
	done   bool
	finish backing.Finish
	err    error
	// ready receives a value when undelivered, done or err changes.
	ready      chan struct{}
	acceptedAt time.Time
}

func (e *Engine) newSequence(g backing.Generation) *sequence {
	s := &sequence{
		request:      g,
		seed:         Seed(g.Model, g.Adapter, g.Prompt),
		promptTokens: backing.Tokens(g.Prompt),
		prefixes:     backing.PrefixHashes(g.Model, g.Prompt),
		nextToken:    g.Resume,
		ready:        make(chan struct{}, 1),
		acceptedAt:   time.Now(),
	}
	s.outputLength, s.finishReason = e.options.answerLength(g, s.seed)
	if g.PrefillOnly {
		s.outputLength = g.Resume
	}
	s.neededBlocks = blockCount(s.promptTokens + max(s.outputLength, g.Resume))
	return s
}

// blockCount returns the number of KV cache blocks for the given number of
// tokens.
func blockCount(tokens int) int {
	return (tokens + backing.KVBlockTokens - 1) / backing.KVBlockTokens
}

// wake makes streamTokens check the sequence for changes. It never blocks.
func (s *sequence) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// end marks the sequence as ended with err, if it has not ended before.
func (s *sequence) end(err error) {
	if s.done {
		return
	}
	s.done = true
	s.err = err
	s.finish = backing.Finish{
		Reason:       s.finishReason,
		PromptTokens: s.promptTokens,
		OutputTokens: s.nextToken,
		CachedTokens: s.cachedTokens,
	}
	s.wake()
}
