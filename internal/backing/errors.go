// Package backing declares what acacialink needs of the platform around it:
// the key-value store, model engines, plain services, the ordering of
// endpoints, usage reports, the host list and the weight store. Each interface
// has one adapter in this package, and only the adapter knows a wire format.
package backing

import "github.com/pkg/errors"

// Errors that every adapter maps its wire errors to.
var (
	// ErrUnavailable means that the service could not be reached or refused
	// for the moment, and that the call had no effect.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUnknown means that the answer was lost: the call may have taken effect.
	ErrUnknown = errors.New("outcome of the platform call is unknown")
	// ErrConflict means that a compare-and-swap found another revision.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrNotFound means that there is no such key, lease, endpoint or window.
	ErrNotFound = errors.New("not found")
	// ErrLeaseExpired means that the lease is no longer held.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrCompacted means that a watch asked for events that are gone; the
	// reader lists again.
	ErrCompacted = errors.New("watch revision is compacted")
	// ErrFenced means that the receiver saw a higher fencing number.
	ErrFenced = errors.New("fencing number is too old")
	// ErrRejected means that the service understood the call and refused it
	// for good.
	ErrRejected = errors.New("platform call rejected")
)
