// Package queue admits requests to the engines: bounded queues per class,
// shares between workspaces in tokens, and early refusals.
//
// Core is the decision logic: a state machine without clocks or goroutines.
// Queue lets callers wait in it.
package queue
