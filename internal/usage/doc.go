// Package usage counts what workspaces use and reports it in windows.
//
// Each host counts on the request path and hands its figures, within seconds,
// to the keeper of the workspace's shard: the host that holds the shard's
// lease. The keeper adds them to the shard's record in the store by
// compare-and-swap and only then acknowledges. The record names the last batch
// of each host that it holds, so a repeated batch counts once. A window is
// sealed by the compare-and-swap that takes it out of the record's open
// windows; what is reported is fixed by then. Figures that come later go into
// an open window as corrections.
package usage
