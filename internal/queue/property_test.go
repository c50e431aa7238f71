package queue

import (
	"testing"

	"pgregory.net/rapid"
)

func TestCapacityLimitsAndAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := newTestScheduler(func(s *Settings) { s.Classes[Batch].MaxWaiting = 20 })
		var waiting, admitted []*Entry
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				e, _, err := scheduler.Push(epoch, drawItem(t))
				if err == nil {
					waiting = append(waiting, e)
				}
			case 2:
				if len(admitted) > 0 {
					scheduler.PrefillDone(admitted[rapid.IntRange(0, len(admitted)-1).Draw(t, "prefilled")])
				}
			case 3:
				if len(admitted) > 0 {
					scheduler.Release(admitted[rapid.IntRange(0, len(admitted)-1).Draw(t, "released")], 10)
				}
			case 4:
				if len(waiting) > 0 {
					scheduler.Refuse(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "refused")], errNoCapacity())
				}
			}
			for e := scheduler.AdmitNext(); e != nil; e = scheduler.AdmitNext() {
				admitted = append(admitted, e)
			}
			checkReservations(t, scheduler, admitted)
		}
		for len(admitted) > 0 {
			scheduler.Release(admitted[0], 10)
			admitted = admitted[1:]
			for e := scheduler.AdmitNext(); e != nil; e = scheduler.AdmitNext() {
				admitted = append(admitted, e)
			}
		}
		for _, e := range waiting {
			if e.State == Waiting {
				t.Fatal("an entry is still waiting after all capacity was released")
			}
		}
		if s := scheduler.Stats(); s.PrefillTokens != 0 || s.KVBlocks != 0 || s.Waiting != [classCount]int{} {
			t.Fatalf("reservations or entries remain: %+v", s)
		}
	})
}

func drawItem(t *rapid.T) Item {
	return Item{
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Class:        Class(rapid.IntRange(0, 2).Draw(t, "class")),
		PromptTokens: rapid.Int64Range(1, 20000).Draw(t, "prompt"),
		OutputTokens: rapid.Int64Range(1, 5000).Draw(t, "output"),
		CachedTokens: rapid.Int64Range(0, 20000).Draw(t, "cached"),
	}
}

func checkReservations(t *rapid.T, scheduler *Scheduler, admitted []*Entry) {
	var prefillTokens, kvBlocks int64
	admittedCount := 0
	for _, e := range admitted {
		prefillTokens += e.prefillTokens
		kvBlocks += e.kvBlocks
		if e.State == Admitted {
			admittedCount++
		}
	}
	if prefillTokens != scheduler.prefillTokens || kvBlocks != scheduler.kvBlocks {
		t.Fatal("reserved capacity does not match the sum over entries")
	}
	if kvBlocks > scheduler.capacity.KVBlocks && admittedCount > 1 {
		t.Fatalf("%d KV cache blocks are reserved by %d entries", kvBlocks, admittedCount)
	}
	if scheduler.capacity.Streams != 0 && (int64(admittedCount) != scheduler.streams || scheduler.streams > scheduler.capacity.Streams) {
		t.Fatalf("%d streams counted for %d admitted entries", scheduler.streams, admittedCount)
	}
	if scheduler.longPrefillTokens > scheduler.longPrefillLimit() {
		t.Fatalf("long prompts have reserved %d tokens of prefill capacity", scheduler.longPrefillTokens)
	}
}
