// Package order issues fenced orders to engines. Each endpoint has at most one order
// in flight. Its intent is written to the store before the call, and the next host
// that leads the shard of control work settles an order whose outcome is unknown. On
// the agent, a Gate passes an order to the engine only while the endpoint's record in
// the store names that order and its fencing number, so that engines that do not
// check fencing numbers are protected too.
package order
