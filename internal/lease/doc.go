// Package lease spreads pieces of control work over the entry hosts so that no
// two hosts act on one piece at a time.
//
// A host has one lease of the platform's store and renews it while it holds
// anything; each piece that it holds is a key under that lease. The revision
// at which the key was created is the piece's fencing number. A host counts
// its lease from before the renewal was sent, stops by a margin before it
// ends, on the monotonic and on the boot clock, and hands out the moment by
// which work under a piece must have ended.
package lease
