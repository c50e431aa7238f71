package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/verdict"
)

// newFullQueue returns a queue whose memory is held by one ticket.
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
		q, held := newFullQueue(t)
		done := make(chan error)
		go func() {
			ticket, err := q.Admit(t.Context(), chat("w"))
			if err == nil {
				ticket.Release(10)
			}
			done <- err
		}()
		synctest.Wait()
		is.Equal(q.Stats().Waiting[Interactive], 1)
		held.Release(10)
		held.Release(10)
		is.NoErr(<-done)
		is.Equal(q.Stats().Pieces, int64(0))
	})
}

func TestAdmitRefusesAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		start := time.Now()
		_, err := q.Admit(t.Context(), chat("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.Equal(time.Since(start), DefaultSettings().Classes[Interactive].Deadline)
		is.Equal(q.Stats().Waiting[Interactive], 0)
		is.Equal(len(q.waiters), 0)
	})
}

func TestAdmitEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := q.Admit(ctx, chat("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(ctx.Err() != nil)
		is.Equal(q.Stats().Waiting[Interactive], 0)
		_, err = q.Admit(ctx, chat("w"))
		is.Equal(verdict.Of(err), verdict.NotRun)
	})
}

func TestSetCapacityWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newFullQueue(t)
		done := make(chan error)
		go func() {
			_, err := q.Admit(t.Context(), chat("w"))
			done <- err
		}()
		synctest.Wait()
		more := testCapacity()
		more.Pieces *= 2
		q.SetCapacity(more)
		is.NoErr(<-done)
	})
}
