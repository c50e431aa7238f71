package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/verdict"
)

var epoch = time.Unix(1000, 0)

func testCapacity() Capacity {
	return Capacity{PrefillTokens: 8000, KVBlocks: 100, Streams: 12, PrefillRate: 10000, DecodeRate: 10000}
}

func newTestScheduler(change func(*Settings)) *Scheduler {
	s := DefaultSettings()
	for i := range s.Classes {
		s.Classes[i].Deadline = time.Hour
	}
	if change != nil {
		change(&s)
	}
	scheduler := NewScheduler(s)
	scheduler.SetCapacity(testCapacity())
	return scheduler
}

func chatItem(workspace string) Item {
	return Item{Workspace: workspace, Class: Interactive, PromptTokens: 500, OutputTokens: 100}
}

// serveAll admits and releases up to n entries one at a time. It returns the
// admitted work per workspace.
func serveAll(scheduler *Scheduler, n int) map[string]int64 {
	served := make(map[string]int64)
	for range n {
		e := scheduler.AdmitNext()
		if e == nil {
			break
		}
		served[e.Workspace] += e.cost()
		scheduler.Release(e, e.OutputTokens)
	}
	return served
}

func TestWorkspaceSharesCountTokens(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(nil)
	for range 400 {
		_, _, err := scheduler.Push(epoch, chatItem("many-small"))
		is.NoErr(err)
	}
	for range 100 {
		_, _, err := scheduler.Push(epoch, Item{Workspace: "few-large", PromptTokens: 2000, OutputTokens: 800})
		is.NoErr(err)
		_, _, err = scheduler.Push(epoch, Item{Workspace: "weight-2", Weight: 2, PromptTokens: 1000, OutputTokens: 400})
		is.NoErr(err)
	}
	served := serveAll(scheduler, 150)
	largest := int64(2000 + 2*800)
	is.True(abs(served["many-small"]-served["few-large"]) <= largest)
	is.True(abs(served["weight-2"]-2*served["few-large"]) <= 2*largest)
}

func abs(n int64) int64 { return max(n, -n) }

func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(nil)
	push := func(w string, n int) {
		for range n {
			_, _, err := scheduler.Push(epoch, chatItem(w))
			is.NoErr(err)
		}
	}
	push("busy", 300)
	serveAll(scheduler, 200)
	push("back", 100)
	served := serveAll(scheduler, 100)
	is.True(abs(served["busy"]-served["back"]) <= 2*700)
}

func TestIntermittentWorkspaceKeepsItsCounter(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(nil)
	// "hopper" never has more than one waiting entry, but its entries are large.
	large := Item{Workspace: "hopper", PromptTokens: 3000, OutputTokens: 1000}
	for range 200 {
		_, _, err := scheduler.Push(epoch, chatItem("steady"))
		is.NoErr(err)
	}
	served := make(map[string]int64)
	waiting := false
	for range 100 {
		if !waiting {
			_, _, err := scheduler.Push(epoch, large)
			is.NoErr(err)
			waiting = true
		}
		e := scheduler.AdmitNext()
		served[e.Workspace] += e.cost()
		waiting = waiting && e.Workspace != "hopper"
		scheduler.Release(e, e.OutputTokens)
	}
	is.True(abs(served["hopper"]-served["steady"]) <= 2*large.cost())
}

func TestLowerPriorityClassesReceiveTheirShare(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(nil)
	for i := range 1000 {
		item := chatItem("w")
		item.Class = Class(i % 3)
		_, _, err := scheduler.Push(epoch, item)
		is.NoErr(err)
	}
	var count [classCount]int
	for range 300 {
		e := scheduler.AdmitNext()
		count[e.Class]++
		scheduler.Release(e, e.OutputTokens)
	}
	is.True(count[Interactive] >= 240)
	is.True(count[Standard] >= 15)
	is.True(count[Batch] >= 7)
}

func TestFullClassEvictsFromLargestFlow(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(func(s *Settings) { s.Classes[Interactive].MaxWaiting = 10 })
	for range 10 {
		_, _, err := scheduler.Push(epoch, chatItem("flood"))
		is.NoErr(err)
	}
	_, _, err := scheduler.Push(epoch, chatItem("flood"))
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Status, 429)
	for i := range 5 {
		_, evicted, err := scheduler.Push(epoch, chatItem(fmt.Sprint("small", i)))
		is.NoErr(err)
		is.Equal(evicted.Workspace, "flood")
		is.Equal(evicted.State, Refused)
		is.Equal(verdict.Of(evicted.Err), verdict.NotRun)
	}
	is.Equal(scheduler.Stats().Waiting[Interactive], 10)
}

func TestEarlyRefusalIsPerWorkspace(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(func(s *Settings) { s.Classes[Interactive].Deadline = 2 * time.Second })
	var err error
	pushed := 0
	for ; err == nil && pushed < 1000; pushed++ {
		_, _, err = scheduler.Push(epoch, chatItem("flood"))
	}
	is.True(err != nil)
	is.True(pushed < 60) // 2s deadline at 10,000 prompt tokens/s and 500 tokens per prompt
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Status, 503)
	is.True(verdict.As(err).RetryAfter >= time.Second)
	_, _, err = scheduler.Push(epoch, chatItem("other"))
	is.NoErr(err)
}

func TestPushFailsWithoutCapacity(t *testing.T) {
	is := is.New(t)
	scheduler := NewScheduler(DefaultSettings())
	_, _, err := scheduler.Push(epoch, chatItem("w"))
	is.Equal(verdict.Of(err), verdict.NotRun)
}
