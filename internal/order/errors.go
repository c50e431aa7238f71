package order

import "github.com/pkg/errors"

// Errors of Giver.Give.
var (
	// ErrLost means that a host with a higher fencing number issues the orders to
	// the endpoint.
	ErrLost = errors.New("another host issues orders to the endpoint")
	// ErrUnsettled means that the engine may have carried out the order. The
	// order is settled before the next one is issued.
	ErrUnsettled = errors.New("outcome of the order is unknown")
	// ErrRefused means that the engine has not carried out the order.
	ErrRefused = errors.New("engine refused the order")
)

// Results in the answers of agents, see wire.OrderResponse.
const (
	resultDone    = "done"
	resultFenced  = "fenced"
	resultBusy    = "busy"
	resultFailed  = "failed"
	resultUnknown = "unknown"
	resultLate    = "late"
)
