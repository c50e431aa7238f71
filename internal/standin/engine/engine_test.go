package engine_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var errGone = errors.New("caller is gone")

func prompt(tokens int) string { return strings.Repeat("wish", tokens) }

func generation(id string, promptTokens, maxTokens int) backing.Generation {
	return backing.Generation{ID: id, Model: "m", Prompt: prompt(promptTokens), MaxTokens: maxTokens}
}

// outcome is what a caller of Generate sees.
type outcome struct {
	text         string
	first, total time.Duration
	finish       backing.Finish
	err          error
}

func run(e backing.Engine, g backing.Generation, limit int) outcome {
	var o outcome
	start := time.Now()
	taken := 0
	o.finish, o.err = e.Generate(context.Background(), g, func(t backing.Token) error {
		if taken == 0 {
			o.first = time.Since(start)
		}
		if taken == limit {
			return errGone
		}
		taken++
		o.text += t.Text
		return nil
	})
	o.total = time.Since(start)
	return o
}

func background(e backing.Engine, g backing.Generation) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- run(e, g, -1) }()
	synctest.Wait()
	return done
}

func TestUnloadedEngineMeetsLatencyAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}})
		whole := run(e, generation("a", 4_000, 30), -1)
		is.NoErr(whole.err)
		is.Equal(whole.text, engine.ExpectedText("m", "", prompt(4_000), 30))
		is.True(whole.first <= 460*time.Millisecond)
		is.True((whole.total-whole.first)/29 <= 48*time.Millisecond)
		part := run(e, generation("b", 4_000, 30), 11)
		is.True(errors.Is(part.err, errGone))
		other := engine.New(engine.Options{Models: []string{"m"}})
		g := generation("b", 4_000, 30)
		g.Resume = 11
		rest := run(other, g, -1)
		is.NoErr(rest.err)
		is.Equal(part.text+rest.text, whole.text)
		is.Equal(rest.finish.OutputTokens, 30)
	})
}

func TestCachedPrefixCostsNoPrefillAndLeavesWhenRoomIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}, TotalPieces: 10})
		cold := run(e, generation("a", 8_000, 1), -1)
		warm := run(e, generation("b", 8_000, 1), -1)
		is.Equal(cold.finish.CachedTokens, 0)
		is.Equal(warm.finish.CachedTokens, 8_000)
		is.True(warm.first*5 < cold.first)
		events, err := e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.True(len(events) < 8) // events of the last second are not yet out
		time.Sleep(time.Second)
		events, err = e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 8)
		is.Equal(events[0].Prefix, backing.PrefixHashes("m", prompt(8_000))[0])
		g := generation("c", 8_000, 1)
		g.Prompt = strings.Repeat("fish", 8_000)
		is.NoErr(run(e, g, -1).err)
		again := run(e, generation("d", 8_000, 1), -1)
		is.True(again.finish.CachedTokens < 8_000)
	})
}

func TestQueueServesHigherPriorityFirstAndWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}, TotalPieces: 4})
		first := background(e, generation("first", 3_500, 100))
		time.Sleep(500 * time.Millisecond)
		low := background(e, generation("low", 3_501, 100))
		high := generation("high", 3_502, 100)
		high.Priority = 1
		urgent := background(e, high)
		is.NoErr((<-first).err)
		is.NoErr((<-urgent).err)
		select {
		case <-low:
			t.Fatal("low priority ended with the high one, so memory was given twice")
		default:
		}
		is.NoErr((<-low).err)
		is.True(errors.Is(run(e, generation("big", 4_000, 1), -1).err, backing.ErrRejected))
	})
}

func TestImportedKVSkipsPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		prefill := engine.New(engine.Options{Models: []string{"m"}, Role: backing.RolePrefill})
		decode := engine.New(engine.Options{Models: []string{"m"}, Role: backing.RoleDecode})
		g := generation("a", 8_000, 5)
		g.PrefillOnly = true
		is.NoErr(run(prefill, g, -1).err)
		value, err := prefill.ExportKV(ctx, "a")
		is.NoErr(err)
		is.True(errors.Is(decode.ImportKV(ctx, "h", value[:len(value)-1]), backing.ErrRejected))
		is.NoErr(decode.ImportKV(ctx, "h", value))
		g.PrefillOnly = false
		g.KVHandle = "h"
		moved := run(decode, g, -1)
		is.NoErr(moved.err)
		is.True(moved.first < 50*time.Millisecond)
		is.Equal(moved.text, engine.ExpectedText("m", "", g.Prompt, 5))
		g.Prompt = prompt(7_000)
		is.True(errors.Is(run(decode, g, -1).err, backing.ErrRejected)) // of another prompt
		g.KVHandle = "none"
		is.True(errors.Is(run(decode, g, -1).err, backing.ErrNotFound))
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}})
		time.Sleep(time.Minute)
		done := background(e, generation("a", 100, 100))
		time.Sleep(300 * time.Millisecond)
		load, err := e.Load(t.Context())
		is.NoErr(err)
		is.Equal(load.Running, 0)
		time.Sleep(400 * time.Millisecond)
		load, err = e.Load(t.Context())
		is.NoErr(err)
		is.Equal(load.Running, 1)
		is.True(load.Age <= 500*time.Millisecond)
		<-done
	})
}
