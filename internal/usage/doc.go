// Package usage meters what workspaces consume and reports it in windows.
//
// Every host counts usage on the request path and sends its figures, within
// seconds, to the owner of the workspace's shard: the host that holds the
// shard's lease. The owner adds them to the shard's record in the store by
// compare-and-swap and acknowledges them only afterwards. The record stores the
// sequence number of the last batch applied for each sending host, so a repeated
// batch is counted once. A window is sealed by the compare-and-swap that removes
// it from the record's open windows; its reported content is immutable from then
// on. Figures that arrive for a sealed window are added to an open window as
// corrections.
package usage
