// Package lease distributes shards of control work over the entry hosts so that
// no two hosts act on a shard at the same time.
//
// A host has one lease of the platform's store and renews it while it holds
// shards; each shard that it holds is a key under that lease. The revision at
// which the key was created is the fencing token of the shard. A host measures
// its lease from before the renewal was sent, on both the monotonic and the boot
// clock, stops using it a margin before it expires, and returns with each shard
// the time by which work under it must end.
package lease
