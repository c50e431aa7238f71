// Package once runs a request at most once for each idempotency key. A claim
// is written to the store before the request may leave the host, and is never
// given to another request once work may have left. Claims of one shard share
// one head record, so that several go into one compare-and-swap.
//
// Guarantees: two requests with the same key, body, workspace and route never
// both reach an endpoint within the retention time; an error with the verdict
// NotRun means that the request of this call was not sent.
package once
