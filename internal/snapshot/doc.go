// Package snapshot holds the accepted configuration: an immutable View at one
// revision, the Log that keeps it in the platform's store, and the Holder that
// gives a host its current View and says whether it may still be used.
package snapshot
