// Package snapshot replicates the accepted configuration to the entry hosts.
// View is the immutable configuration at one revision, Log stores the changes in
// the platform's store, and Replica keeps a host's View current and reports
// whether it is fresh enough to be used.
package snapshot
