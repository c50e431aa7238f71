package member

import (
	"fmt"
	"testing"
)

// BenchmarkEntries measures a list of the entry hosts.
func BenchmarkEntries(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t, now := fullTable(n)
			b.ReportAllocs()
			for b.Loop() {
				t.Entries(now)
			}
		})
	}
}
