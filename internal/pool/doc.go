// Package pool decides how many endpoints of a pool to pay for in each failure
// domain. It forecasts the demand over the start time of an ordered endpoint,
// keeps headroom for the loss of domains, stays within the operator's bounds
// and budget, and returns endpoints only after they have been spare for some
// time. The package does no I/O and reads no clock: callers pass measurements and
// the time, and carry out the actions.
package pool
