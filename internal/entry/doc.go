// Package entry serves callers on an entry host: it authenticates them,
// admits their requests, gives each to an endpoint's agent, streams the answer
// back and says for every failure whether the request may have run.
package entry
