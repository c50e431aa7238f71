// Package opsclient is behind the operators' commands apply, get, watch and
// delete: it speaks to the operators' interface of an entry host and tells
// failures apart by exit codes.
package opsclient
