// Package role decides which engines of a pool in one failure domain prefill
// and which decode. It is pure: reports and the time go in, at most one change
// comes out. Few changes are made: a change takes an engine away for seconds,
// so it must pay for itself, the need for it must last, and no second one
// begins before the first has ended.
package role
