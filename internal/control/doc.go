// Package control carries out the decisions of packages role and pool. Control
// work is divided into shards, each of which runs on the host that holds its
// lease. Each shard is a short reconciler: it compares the declared with the
// actual state, takes one step towards the former, and may be repeated at any
// point. Each intent is written to the store before it is carried out, so that
// the next owner of the lease completes the same step.
package control
