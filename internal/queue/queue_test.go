package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/verdict"
)

// newFullQueue returns a queue whose KV cache blocks are all reserved by the
// returned ticket.
func newFullQueue(t *testing.T) (*Queue, *Ticket) {
	is := is.New(t)
	q := New(DefaultSettings())
	q.SetCapacity(testCapacity())
	ticket, err := q.Admit(t.Context(), Item{Workspace: "holder", PromptTokens: 1000, OutputTokens: 99000})
	is.NoErr(err)
	return q, ticket
}

func TestAdmitWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, fullTicket := newFullQueue(t)
		done := make(chan error)
		go func() {
			ticket, err := q.Admit(t.Context(), chatItem("w"))
			if err == nil {
				ticket.Release(10)
			}
			done <- err
		}()
		synctest.Wait()
		is.Equal(q.Stats().Waiting[Interactive], 1)
		fullTicket.Release(10)
		fullTicket.Release(10)
		is.NoErr(<-done)
		is.Equal(q.Stats().KVBlocks, int64(0))
	})
}

func TestAdmitFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		start := time.Now()
		_, err := q.Admit(t.Context(), chatItem("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.Equal(time.Since(start), DefaultSettings().Classes[Interactive].Deadline)
		is.Equal(q.Stats().Waiting[Interactive], 0)
		is.Equal(len(q.waiters), 0)
	})
}

func TestAdmitReturnsOnContextTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := q.Admit(ctx, chatItem("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(ctx.Err() != nil)
		is.Equal(q.Stats().Waiting[Interactive], 0)
		_, err = q.Admit(ctx, chatItem("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
	})
}

func TestSetCapacityAdmitsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		done := make(chan error)
		go func() {
			_, err := q.Admit(t.Context(), chatItem("w"))
			done <- err
		}()
		synctest.Wait()
		more := testCapacity()
		more.KVBlocks *= 2
		q.SetCapacity(more)
		is.NoErr(<-done)
	})
}
