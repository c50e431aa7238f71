// Package entry implements the caller-facing HTTP server of an entry host. It
// authenticates and admits requests, forwards each to the agent of an endpoint and
// streams the response back. Every response has a verdict header; for a failure it
// states whether the request may have run.
package entry
