// Package control carries out what packages role and pool decide, on the host
// that holds the lease of a piece of control work. Each piece is a short
// reconciler: it reads what is declared and what is there, takes one step
// towards it, and may be repeated at any point. What it intends is in the
// store before it is done, so that a successor finishes the same step.
package control
