// Package order issues fenced orders to engines. Each endpoint has at most one order
// in flight. The intent of an order is written to the store before the call, and the
// next leader of the shard of control work settles an order whose outcome is unknown.
// On the agent, a Gate passes an order to the engine only while the endpoint's record
// in the store names that order and its fencing token, so that engines that do not
// check fencing tokens are protected too.
package order
