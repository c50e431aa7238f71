// Package role decides which engines of a pool in one failure domain prefill and
// which decode. It does no I/O: its input is engine reports and the time, its output
// at most one role change at a time. A change takes an engine out of service for
// seconds. It is therefore made only if its expected gain exceeds that cost, the
// need for it has persisted, and the previous change has ended.
package role
