package usage

import (
	"fmt"
	"testing"
)

func BenchmarkRecorderAdd(b *testing.B) {
	r := NewRecorder(DefaultSettings())
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			r.Add(names[n%len(names)], "lantern", 100, 20, 0, 1)
		}
	})
}
