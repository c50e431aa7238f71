package order

import "github.com/pkg/errors"

// Errors of Giver.Give.
var (
	// ErrLost means that a later holder has given orders to the endpoint.
	ErrLost = errors.New("orders to the endpoint are given by another host")
	// ErrUnsettled means that the engine may have done the order; it is
	// settled before the next one.
	ErrUnsettled = errors.New("outcome of the order is not known yet")
	// ErrRefused means that the engine has not done the order.
	ErrRefused = errors.New("order refused")
)

// The results that agents answer with, see wire.OrderResponse.
const (
	resultDone    = "done"
	resultFenced  = "fenced"
	resultBusy    = "busy"
	resultRefused = "failed"
	resultUnknown = "unknown"
	resultLate    = "late"
)
