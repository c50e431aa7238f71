package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/bodybudget"
	"github.com/acacialink/acacialink/internal/framing"
	"github.com/acacialink/acacialink/internal/outbound"
	"github.com/acacialink/acacialink/internal/verdict"
)

// codeOversized is the code of an answer that was cut for its size: a part of it exceeds its
// own limit, or the answers of its endpoint the share of this host's memory.
const codeOversized = "answer_oversized"

// The parts of an answer, as labels of Metrics.Oversized.
const (
	partHead    = "head"
	partBody    = "body"
	partEvent   = "event"
	partPrefill = "prefill"
)

// isOversized reports whether err means that an answer was cut for its size.
func isOversized(err error) bool {
	return errors.Is(err, bodybudget.ErrExhausted) || errors.Is(err, outbound.ErrHeadTooLong) || errors.Is(err, framing.ErrEventTooLong)
}

// oversizedFailure returns the error of an answer that was cut for its size.
func oversizedFailure(cause error) *verdict.Error {
	return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusBadGateway, codeOversized, "the answer was cut for its size")
}

// countOversized counts an answer that was cut for its size at the given part.
func (req *request) countOversized(err error, part string) {
	if isOversized(err) {
		req.gateway.opts.Metrics.Oversized.Add(part, 1)
	}
}
