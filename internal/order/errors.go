package order

import "github.com/pkg/errors"

// Errors of Issuer.Issue.
var (
	// ErrNotLeader means that a host with a higher fencing token issues the orders to
	// the endpoint.
	ErrNotLeader = errors.New("another host issues orders to the endpoint")
	// ErrOutcomeUnknown means that the engine may have carried out the order. The
	// order is settled before the next one is issued.
	ErrOutcomeUnknown = errors.New("outcome of the order is unknown")
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
