package snapshot

import "runtime"

// heapInUse returns the size of the live heap, in bytes, after two collections.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // Far below the limit of int64.
}
