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

// Sender takes an order to an agent.
type Sender interface {
	// Order returns the agent's answer; an error means that the order may or
	// may not have arrived.
	Order(ctx context.Context, endpoint, address string, o *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Giver gives orders on a host that holds control work. It is safe for
// concurrent use on different endpoints.
type Giver struct {
	host   string
	store  backing.Store
	sender Sender
	marks  *record.WriteTokens
}

// NewGiver returns a giver that issues orders in the name of the host.
func NewGiver(host string, store backing.Store, sender Sender, marks *record.WriteTokens) *Giver {
	return &Giver{host: host, store: store, sender: sender, marks: marks}
}

// Target is where an order goes and under which authority.
type Target struct {
	// Piece is the control work, Fence its fencing number.
	Piece string
	Fence int64
	// Endpoint names the engine, Agent is its agent's address.
	Endpoint, Agent string
}

// Give gives the order and returns nil only once the engine has done it. The
// order's ID, fence and issuer are filled in. An order of an earlier holder
// whose outcome is unknown is settled first. The deadline of ctx is the end of
// the holder's authority: the agent does not act on an order that it cannot
// pass on before then.
func (g *Giver) Give(ctx context.Context, t Target, o backing.Order) error {
	r := record.New[Intent](g.store, Key(t.Endpoint), g.marks)
	if err := r.Load(ctx); err != nil {
		return err
	}
	if r.Value().Fence > t.Fence {
		return ErrLost
	}
	if err := g.settle(ctx, t, r); err != nil {
		return err
	}
	next := Intent{
		Fence:  t.Fence,
		Piece:  t.Piece,
		Number: r.Value().Number + 1,
		Order:  o,
		State:  StateIntended,
		Since:  time.Now(),
	}
	next.Order.ID = fmt.Sprintf("%s/%d", t.Endpoint, next.Number)
	next.Order.Fence = t.Fence
	next.Order.Issuer = g.host
	if err := r.Swap(ctx, next); err != nil {
		return lost(err)
	}
	return g.send(ctx, t, r, false)
}

// settle finishes an order whose outcome is unknown: the same order is sent
// again, under this holder's fencing number. The engine knows it by its ID.
func (g *Giver) settle(ctx context.Context, t Target, r *record.Record[Intent]) error {
	last := r.Value()
	if last.State != StateIntended {
		return nil
	}
	if last.Fence != t.Fence {
		last.Fence = t.Fence
		last.Piece = t.Piece
		last.Order.Fence = t.Fence
		last.Order.Issuer = g.host
		if err := r.Swap(ctx, last); err != nil {
			return lost(err)
		}
	}
	err := g.send(ctx, t, r, true)
	if errors.Is(err, ErrRefused) {
		return nil
	}
	return err
}

// send sends the recorded order and records its outcome. A late answer to a
// repeat says nothing about the first delivery.
func (g *Giver) send(ctx context.Context, t Target, r *record.Record[Intent], repeat bool) error {
	intent := r.Value()
	answer, err := g.sender.Order(ctx, t.Endpoint, t.Agent, request(ctx, intent))
	if err != nil {
		return errors.Wrap(ErrUnsettled, err.Error())
	}
	late := answer.Result == resultLate
	switch {
	case answer.Result == resultDone:
		intent.State = StateDone
	case answer.Result == resultRefused, late && !repeat:
		intent.State = StateRefused
		intent.Message = answer.Message
	case answer.Result == resultFenced:
		return ErrLost
	default:
		return errors.Wrap(ErrUnsettled, answer.Result+": "+answer.Message)
	}
	intent.Since = time.Now()
	if err := r.Swap(ctx, intent); err != nil {
		return lost(err)
	}
	if intent.State == StateRefused {
		return errors.Wrap(ErrRefused, intent.Message)
	}
	return nil
}

func request(ctx context.Context, i Intent) *wire.OrderRequest {
	m := &wire.OrderRequest{
		Id:      i.Order.ID,
		Fence:   i.Fence,
		Scope:   i.Piece,
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

// lost turns a conflict into ErrLost: only a later holder writes the record.
func lost(err error) error {
	if errors.Is(err, backing.ErrConflict) {
		return errors.Wrap(ErrLost, err.Error())
	}
	return err
}
