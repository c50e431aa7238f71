// Package idempotency runs a request at most once per idempotency key. A host writes
// a claim for the key to the store before it sends the request, and never
// reassigns the key once the request may have been sent. The claims of one
// shard share one head record, so that a single compare-and-swap commits a
// batch of them.
//
// Guarantees: of two requests with the same key, body, workspace and route, at
// most one reaches an endpoint within the retention time. An error with the
// verdict NotRun means that this call did not send its request.
package idempotency
