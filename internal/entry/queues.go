package entry

import (
	"context"
	"sync"

	"github.com/acacialink/acacialink/internal/queue"
)

// Queues has a separate admission queue for each model, so that busy endpoints of one
// model do not delay requests for another. It is safe for concurrent use.
type Queues struct {
	settings queue.Settings

	// mu guards byModel.
	mu      sync.Mutex
	byModel map[string]*queue.Queue
}

// NewQueues returns an empty set of queues. Each queue has no capacity until
// SetCapacity is called for its model.
func NewQueues(s queue.Settings) *Queues {
	return &Queues{settings: s, byModel: make(map[string]*queue.Queue)}
}

// Admit waits until the queue of the model admits the item; see queue.Queue.Admit.
// The caller must have checked that the model is configured, which bounds the number
// of queues.
func (q *Queues) Admit(ctx context.Context, model string, item queue.Item) (*queue.Ticket, error) {
	return q.forModel(model).Admit(ctx, item)
}

// SetCapacity replaces the total capacity of the model's endpoints.
func (q *Queues) SetCapacity(model string, c queue.Capacity) {
	q.forModel(model).SetCapacity(c)
}

// Stats returns the statistics of each queue by model name.
func (q *Queues) Stats() map[string]queue.Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := make(map[string]queue.Stats, len(q.byModel))
	for model, modelQueue := range q.byModel {
		stats[model] = modelQueue.Stats()
	}
	return stats
}

// forModel returns the queue of the model and creates it on first use.
func (q *Queues) forModel(model string) *queue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	modelQueue := q.byModel[model]
	if modelQueue == nil {
		modelQueue = queue.New(q.settings)
		q.byModel[model] = modelQueue
	}
	return modelQueue
}
