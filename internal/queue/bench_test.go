package queue

import (
	"fmt"
	"testing"
)

func BenchmarkAdmitRelease(b *testing.B) {
	q := New(DefaultSettings())
	q.SetCapacity(testCapacity())
	ctx := b.Context()
	item := chatItem("w")
	b.ReportAllocs()
	for b.Loop() {
		t, err := q.Admit(ctx, item)
		if err != nil {
			b.Fatal(err)
		}
		t.PrefillDone()
		t.Release(50)
	}
}

func BenchmarkSchedulerBacklog(b *testing.B) {
	for _, n := range []int{5, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			scheduler := newTestScheduler(nil)
			for i := range 1500 {
				if _, _, err := scheduler.Push(epoch, chatItem(fmt.Sprint(i%n))); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				e := scheduler.AdmitNext()
				scheduler.Release(e, 50)
				if _, _, err := scheduler.Push(epoch, e.Item); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
