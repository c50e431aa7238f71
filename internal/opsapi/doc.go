// Package opsapi is the operators' HTTP interface: it lists, reads, creates,
// updates, deletes and watches resources, and says how far each change has
// come. It is served on the operator address only.
package opsapi
