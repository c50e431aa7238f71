// Package order gives fenced orders to engines: one in flight for each
// endpoint, its intent in the store before the call, settled by whoever holds
// the control work next. On the agent's side, a Gate lets an order through
// only while the store's record of the endpoint names that very order under
// that fencing number, also where the engine itself checks nothing.
package order
