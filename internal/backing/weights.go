package backing

import (
	"context"
	"time"
)

// WeightStore holds model weights and limits the rate of loads.
type WeightStore interface {
	// Estimate returns how long a load of the model would take if it began now.
	Estimate(ctx context.Context, model, adapter string) (time.Duration, error)
}
