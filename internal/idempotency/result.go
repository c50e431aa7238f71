package idempotency

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/verdict"
)

// result returns the recorded response of a key in stateDone. It is safe for
// concurrent use.
func (s *shard) result(ctx context.Context, k keyHash, found *record) (Response, error) {
	if found.response != nil {
		return *found.response, nil
	}
	if found.page == 0 {
		return Response{}, errResultNotRetained()
	}
	entries, err := s.log.pageEntries(ctx, found.page)
	if errors.Is(err, errPageMissing) {
		return Response{}, errResultNotRetained()
	}
	if err != nil {
		failed := verdict.Wrap(err, verdict.Ran, 503, "result_unavailable", "the request ran; its answer can't be read at the moment")
		return Response{}, failed.After(retryAfter)
	}
	for i := range entries {
		e := &entries[i]
		if e.Key == k && e.ClaimID == found.claimID && e.State == stateDone && e.Response != nil {
			return *e.Response, nil
		}
	}
	return Response{}, errResultNotRetained()
}
