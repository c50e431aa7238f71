package member

import (
	"fmt"
	"testing"
)

// BenchmarkEntries measures Table.Members by number of members.
func BenchmarkEntries(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t, now := fullTable(n)
			b.ReportAllocs()
			for b.Loop() {
				t.Members(now)
			}
		})
	}
}
