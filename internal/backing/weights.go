package backing

import (
	"context"
	"time"
)

// WeightStore stores model weights and limits the rate at which they are loaded.
type WeightStore interface {
	// Estimate returns the expected duration of a load of the model if it
	// started now.
	Estimate(ctx context.Context, model, adapter string) (time.Duration, error)
}
