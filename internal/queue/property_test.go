package queue

import (
	"testing"

	"pgregory.net/rapid"
)

func TestCapacityLimitsAndAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestScheduler(func(s *Settings) { s.Classes[Batch].MaxWaiting = 20 })
		var waiting, admitted []*Entry
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				e, _, err := c.Push(epoch, drawItem(t))
				if err == nil {
					waiting = append(waiting, e)
				}
			case 2:
				if len(admitted) > 0 {
					c.PrefillDone(admitted[rapid.IntRange(0, len(admitted)-1).Draw(t, "prefilled")])
				}
			case 3:
				if len(admitted) > 0 {
					c.Release(admitted[rapid.IntRange(0, len(admitted)-1).Draw(t, "released")], 10)
				}
			case 4:
				if len(waiting) > 0 {
					c.Refuse(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "refused")], errNoCapacity())
				}
			}
			for e := c.AdmitNext(); e != nil; e = c.AdmitNext() {
				admitted = append(admitted, e)
			}
			checkReservations(t, c, admitted)
		}
		for len(admitted) > 0 {
			c.Release(admitted[0], 10)
			admitted = admitted[1:]
			for e := c.AdmitNext(); e != nil; e = c.AdmitNext() {
				admitted = append(admitted, e)
			}
		}
		for _, e := range waiting {
			if e.State == Waiting {
				t.Fatal("an entry is still waiting after all capacity was released")
			}
		}
		if s := c.Stats(); s.PrefillTokens != 0 || s.KVBlocks != 0 || s.Waiting != [classCount]int{} {
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

func checkReservations(t *rapid.T, c *Scheduler, admitted []*Entry) {
	var prefillTokens, kvBlocks int64
	admittedCount := 0
	for _, e := range admitted {
		prefillTokens += e.prefillTokens
		kvBlocks += e.kvBlocks
		if e.State == Admitted {
			admittedCount++
		}
	}
	if prefillTokens != c.prefillTokens || kvBlocks != c.kvBlocks {
		t.Fatal("reserved capacity does not match the sum over entries")
	}
	if kvBlocks > c.capacity.KVBlocks && admittedCount > 1 {
		t.Fatalf("%d KV cache blocks are reserved by %d entries", kvBlocks, admittedCount)
	}
	if c.capacity.Streams != 0 && (int64(admittedCount) != c.streams || c.streams > c.capacity.Streams) {
		t.Fatalf("%d streams counted for %d admitted entries", c.streams, admittedCount)
	}
	if c.longPrefillTokens > c.longPrefillLimit() {
		t.Fatalf("long prompts have reserved %d tokens of prefill capacity", c.longPrefillTokens)
	}
}
