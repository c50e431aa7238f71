// Package pool decides how many endpoints of a pool to pay for in each failure
// domain: it forecasts demand over the time that an ordered endpoint takes to
// start, keeps headroom for the loss of a domain, stays within the operator's
// bounds and budget, and returns endpoints only when they have been spare for
// long. It is pure: measurements and the time go in, orders come out.
package pool
