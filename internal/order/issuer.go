package order

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/record"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Sender delivers orders to agents.
type Sender interface {
	// Order returns the agent's answer. After an error the order may or may not have
	// arrived.
	Order(ctx context.Context, endpoint, address string, o *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Issuer issues orders on behalf of the leader of a shard of control work. It is safe
// for concurrent use on different endpoints.
type Issuer struct {
	host        string
	store       backing.Store
	sender      Sender
	writeTokens *record.WriteTokens
}

// NewIssuer returns an Issuer that issues orders in the name of the host.
func NewIssuer(host string, store backing.Store, sender Sender, writeTokens *record.WriteTokens) *Issuer {
	return &Issuer{host: host, store: store, sender: sender, writeTokens: writeTokens}
}

// Target is the destination of an order and the authority under which it is issued.
type Target struct {
	// Shard is the name of the shard of control work.
	Shard string
	// Fence is the fencing token of the shard's leader.
	Fence int64
	// Endpoint is the name of the endpoint. AgentAddress is the address of its agent.
	Endpoint, AgentAddress string
}

// Issue issues the order and returns nil only once the engine has carried it out. It
// sets the order's ID, fence and issuer. If an earlier order has an unknown outcome,
// Issue settles that order first. The deadline of ctx is the end of the host's
// leadership; the agent refuses an order that it cannot pass to the engine by then.
// Issue returns ErrNotLeader, ErrOutcomeUnknown or ErrRefused, possibly wrapped, or an
// error of the store.
func (i *Issuer) Issue(ctx context.Context, t Target, o backing.Order) error {
	r := record.New[Intent](i.store, Key(t.Endpoint), i.writeTokens)
	if err := r.Load(ctx); err != nil {
		return err
	}
	if r.Value().Fence > t.Fence {
		return ErrNotLeader
	}
	if err := i.settle(ctx, t, r); err != nil {
		return err
	}
	intent := Intent{
		Fence:  t.Fence,
		Shard:  t.Shard,
		Number: r.Value().Number + 1,
		Order:  o,
		State:  StateIntended,
		Since:  time.Now(),
	}
	intent.Order.ID = fmt.Sprintf("%s/%d", t.Endpoint, intent.Number)
	intent.Order.Fence = t.Fence
	intent.Order.Issuer = i.host
	if err := r.Swap(ctx, intent); err != nil {
		return asNotLeader(err)
	}
	return i.send(ctx, t, r, false)
}

// settle completes an order whose outcome is unknown. It sends the same order again,
// with this host's fencing token. The engine recognises it by its ID.
func (i *Issuer) settle(ctx context.Context, t Target, r *record.Record[Intent]) error {
	last := r.Value()
	if last.State != StateIntended {
		return nil
	}
	if last.Fence != t.Fence {
		last.Fence = t.Fence
		last.Shard = t.Shard
		last.Order.Fence = t.Fence
		last.Order.Issuer = i.host
		if err := r.Swap(ctx, last); err != nil {
			return asNotLeader(err)
		}
	}
	err := i.send(ctx, t, r, true)
	if errors.Is(err, ErrRefused) {
		return nil
	}
	return err
}

// send sends the recorded order and records its outcome. A "late" answer to a repeated
// order does not determine the outcome of the first delivery.
func (i *Issuer) send(ctx context.Context, t Target, r *record.Record[Intent], repeat bool) error {
	intent := r.Value()
	answer, err := i.sender.Order(ctx, t.Endpoint, t.AgentAddress, newRequest(ctx, intent))
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	late := answer.Result == resultLate
	switch {
	case answer.Result == resultDone:
		intent.State = StateDone
	case answer.Result == resultFailed, late && !repeat:
		intent.State = StateRefused
		intent.Message = answer.Message
	case answer.Result == resultFenced:
		return ErrNotLeader
	default:
		return errors.Wrap(ErrOutcomeUnknown, answer.Result+": "+answer.Message)
	}
	intent.Since = time.Now()
	if err := r.Swap(ctx, intent); err != nil {
		return asNotLeader(err)
	}
	if intent.State == StateRefused {
		return errors.Wrap(ErrRefused, intent.Message)
	}
	return nil
}

func newRequest(ctx context.Context, i Intent) *wire.OrderRequest {
	m := &wire.OrderRequest{
		Id:      i.Order.ID,
		Fence:   i.Fence,
		Scope:   i.Shard,
		Kind:    string(i.Order.Kind),
		Role:    string(i.Order.Role),
		Model:   i.Order.Model,
		Adapter: i.Order.Adapter,
		Issuer:  i.Order.Issuer,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.DeadlineUs = time.Until(deadline).Microseconds()
	}
	return m
}

// asNotLeader converts a conflict to ErrNotLeader, since only a later leader writes
// the record.
func asNotLeader(err error) error {
	if errors.Is(err, backing.ErrConflict) {
		return errors.Wrap(ErrNotLeader, err.Error())
	}
	return err
}
