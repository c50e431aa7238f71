// Package rpc carries messages between acacialink's own processes over drpc.
//
// An entry process holds one session to an agent. A session is one drpc stream
// that carries many requests at a time, told apart by stream numbers; each
// message also carries the id of its request, and one that does not match is
// dropped and counted. Both sides send heartbeats, and a session that stays
// silent is closed, which gives each of its requests a verdict.
package rpc
