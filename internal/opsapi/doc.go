// Package opsapi implements the HTTP API for operators. It lists, reads,
// creates, updates, deletes and watches resources, and reports the rollout state
// of each change. It is served on the operator address only.
package opsapi
