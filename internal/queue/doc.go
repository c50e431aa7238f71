// Package queue is the admission control of the engines: bounded queues per
// class, fair sharing between workspaces by tokens, and early refusal of requests
// that would miss their deadline.
//
// Scheduler is the decision logic: a state machine without clocks or goroutines.
// Queue adds blocking admission for concurrent callers.
package queue
