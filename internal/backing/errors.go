// Package backing declares the interfaces to the platform services that
// acacialink uses: the key-value store, model engines, plain services, the
// endpoint provider, the usage sink, the host list and the weight store. Each
// interface has one adapter in this package; only the adapter knows the wire
// format.
package backing

import "github.com/pkg/errors"

// Errors to which every adapter maps its wire errors.
var (
	// ErrUnavailable means that the service could not be reached or
	// temporarily refused the call. The call had no effect.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUnknown means that the response was lost. The call may have taken effect.
	ErrUnknown = errors.New("outcome of the platform call is unknown")
	// ErrConflict means that a compare-and-swap found another revision.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrNotFound means that the key, lease, endpoint or window does not exist.
	ErrNotFound = errors.New("not found")
	// ErrLeaseExpired means that the lease has ended.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrCompacted means that a watch requested events that the store no
	// longer has; the caller must list again.
	ErrCompacted = errors.New("watch revision is compacted")
	// ErrFenced means that the receiver has seen a higher fencing token.
	ErrFenced = errors.New("fencing number is too old")
	// ErrRejected means that the service understood the call and refused it
	// permanently.
	ErrRejected = errors.New("platform call rejected")
)
