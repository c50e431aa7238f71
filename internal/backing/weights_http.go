package backing

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

const weightTimeout = 5 * time.Second

// WeightEstimate is the answer to a query for the time of a load.
type WeightEstimate struct {
	Duration time.Duration `json:"duration_ns"`
}

// HTTPWeightStore is the adapter of WeightStore to HTTP with JSON bodies.
type HTTPWeightStore struct {
	caller Caller
}

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns an adapter that asks the store at the base URL. A
// nil client means one with NewTransport.
func NewHTTPWeightStore(base string, client *http.Client) *HTTPWeightStore {
	return &HTTPWeightStore{caller: NewCaller(base, client)}
}

// Estimate implements WeightStore.
func (w *HTTPWeightStore) Estimate(ctx context.Context, model, adapter string) (time.Duration, error) {
	query := url.Values{"model": {model}, "adapter": {adapter}}
	var e WeightEstimate
	err := w.caller.read(ctx, weightTimeout, "/v1/weights/estimate?"+query.Encode(), &e)
	return e.Duration, err
}
