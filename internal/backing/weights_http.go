package backing

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

const weightTimeout = 5 * time.Second

// WeightEstimate is the response to a query for the duration of a load.
type WeightEstimate struct {
	Duration time.Duration `json:"duration_ns"`
}

// HTTPWeightStore implements WeightStore over HTTP with JSON bodies.
type HTTPWeightStore struct {
	caller Caller
}

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns an adapter that queries the store at the base URL. If
// client is nil, it uses a client with NewTransport.
func NewHTTPWeightStore(base string, client *http.Client, options ...Option) *HTTPWeightStore {
	return &HTTPWeightStore{caller: NewCaller(base, client, options...)}
}

// Estimate implements WeightStore.
func (w *HTTPWeightStore) Estimate(ctx context.Context, model, adapter string) (time.Duration, error) {
	query := url.Values{"model": {model}, "adapter": {adapter}}
	var estimate WeightEstimate
	err := w.caller.getJSON(ctx, weightTimeout, "/v1/weights/estimate?"+query.Encode(), &estimate)
	return estimate.Duration, err
}
