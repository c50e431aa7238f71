//go:build !linux

package outbound

import "syscall"

// setUserTimeout does nothing where the option does not exist; keep-alive
// probes find silent connections there.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
