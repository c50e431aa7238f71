// Package quota enforces each workspace's rate and burst, in tokens, across all
// entry hosts.
//
// A workspace's rate and burst are divided into a base and a surplus part. Each
// part of each shard of workspaces has one owner host, which has exact token
// buckets (Owner) and issues grants that expire. Every entry host spends from
// the grants it has received (Holder). Tokens that are granted and not yet
// reported as spent count as still in the bucket, so the sum that all hosts
// admit never exceeds rate and burst, whichever messages are lost. Limiter
// combines both behind one interface and runs the exchanges.
package quota
