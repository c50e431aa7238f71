// Package rpc transports messages between acacialink's own processes over drpc.
//
// An entry process keeps one session open to each agent. A session is one drpc
// stream that multiplexes many concurrent requests by stream number. Each
// message also carries its request ID; a message whose ID does not match its
// stream is dropped and counted. Both sides send heartbeats. A session on which
// nothing arrives within the silence limit is closed, and each of its open
// requests fails with a verdict.
package rpc
