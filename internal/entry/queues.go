package entry

import (
	"context"
	"sync"

	"github.com/acacialink/acacialink/internal/queue"
)

// Queues holds one queue a model, so that the endpoints of one model being
// busy delays no request of another. It is safe for concurrent use.
type Queues struct {
	settings queue.Settings

	mu      sync.Mutex
	byModel map[string]*queue.Queue
}

// NewQueues returns queues without capacity.
func NewQueues(s queue.Settings) *Queues {
	return &Queues{settings: s, byModel: make(map[string]*queue.Queue)}
}

// Admit waits for the turn of an item of the model; see queue.Queue.Admit.
// The caller has checked that the model is in the configuration, which bounds
// the number of queues.
func (q *Queues) Admit(ctx context.Context, model string, item queue.Item) (*queue.Ticket, error) {
	return q.of(model).Admit(ctx, item)
}

// SetCapacity replaces the capacity of a model's endpoints.
func (q *Queues) SetCapacity(model string, c queue.Capacity) {
	q.of(model).SetCapacity(c)
}

// Stats returns the counts of each model's queue.
func (q *Queues) Stats() map[string]queue.Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := make(map[string]queue.Stats, len(q.byModel))
	for model, one := range q.byModel {
		stats[model] = one.Stats()
	}
	return stats
}

func (q *Queues) of(model string) *queue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	one := q.byModel[model]
	if one == nil {
		one = queue.New(q.settings)
		q.byModel[model] = one
	}
	return one
}
