// Package node puts the parts of a process together: an entry host and an
// agent, each from its settings, with their listeners, their start and their
// planned stop. It decides nothing itself.
package node
