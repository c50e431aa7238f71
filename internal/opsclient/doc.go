// Package opsclient implements the operator commands apply, get, watch and
// delete. It is a client of the operator API of an entry host and maps failures
// to exit codes.
package opsclient
