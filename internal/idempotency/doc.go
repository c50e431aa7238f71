// Package idempotency runs a request at most once per idempotency key. A host
// writes a claim for the key to the store before it sends the request. Once the
// request may have run, the key is never claimed again within the retention time.
// The claims of one shard share one head record, so that a single compare-and-swap
// commits a batch of them.
//
// Guarantees: of all requests with the same key, body, workspace and route, at
// most one runs at an endpoint within the retention time. An error with the
// verdict NotRun means that this call's request did not run.
package idempotency
