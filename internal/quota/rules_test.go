package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The tests in this file stage the one order of messages that each rule of the
// protocol is there for, and audit what was consumed.

// get reserves tokens at holder 0 with prompt messages.
func (b *bench) get(is *is.I, tokens int64) int {
	is.Helper()
	n := len(b.open)
	b.reserve(0, tokens)
	if len(b.open) == n {
		b.deliver(b.messages[len(b.messages)-1])
		b.deliver(b.messages[len(b.messages)-1])
		b.reserve(0, tokens)
	}
	is.Equal(len(b.open), n+1)
	return n
}

// wait lets time pass.
func (b *bench) wait(d time.Duration) { b.now = b.now.Add(d) }

// drainAll spends all that can be had, and audits.
func (b *bench) drainAll(is *is.I) {
	is.Helper()
	for h := range b.holders {
		b.drain(h)
	}
	is.Equal(len(Audit(map[string]Limit{"w": benchLimit}, b.log)), 0)
}

func TestNewOwnerWaitsForOldGrants(t *testing.T) {
	is := is.New(t)
	b := newBench()
	first := b.get(is, 1000)
	b.move()
	b.tell(1)
	b.drain(1) // the new owner begins its tenure
	b.wait(4400 * time.Millisecond)
	b.start(first, 1000) // holder 0 does not know of the new owner
	b.drainAll(is)
	is.Equal(b.log[0].Tokens, int64(1000))
}

func TestAnswersOfAnEarlierTenureAreDropped(t *testing.T) {
	is := is.New(t)
	b := newBench()
	for _, h := range b.holders {
		h.ownership[Surplus].(benchView).seen.fence = 0 // a holder that knows no fence
	}
	b.reserve(0, 900)
	old := b.messages[0]
	b.deliver(old) // granted 900 by the first tenure
	late := b.messages[1]
	b.move()
	b.move() // the first owner again, with empty buckets and a new fence
	b.wait(100 * time.Millisecond)
	b.owners[0].Sweep(b.now)
	b.reserve(0, 900)
	b.deliver(b.messages[len(b.messages)-1])
	b.deliver(b.messages[len(b.messages)-1])
	b.deliver(late)
	is.Equal(b.holders[0].workspaces["w"].balance(b.now), int64(0))
}

func TestExpiredAccountIsNotRevived(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.reserve(0, 100)
	b.wait(time.Second)
	b.reserve(0, 100) // sent before the first answer comes
	slow := b.messages[1]
	b.deliver(b.messages[0])
	b.deliver(b.messages[len(b.messages)-1])
	b.start(b.get(is, 60), 60)
	b.wait(4100 * time.Millisecond) // the owner has counted 100 as spent
	b.deliver(slow)
	b.wait(100 * time.Millisecond)
	b.deliver(b.messages[len(b.messages)-1])
	is.Equal(b.holders[0].workspaces["w"].balance(b.now), int64(0))
}

func TestOwnerRefusesAnAccountThatItForgot(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.get(is, 500)
	b.wait(4 * time.Second)
	report := b.holders[0].Flush(b.now)
	is.Equal(len(report), 1)
	b.wait(2 * time.Second) // the report takes longer than the account lives
	b.send(0, report[0])
	b.deliver(b.messages[len(b.messages)-1])
	answer := b.messages[len(b.messages)-1].answer
	is.Equal(answer.GetError(), errorUnknownAccount)
}

func TestReclaimLeavesWhatIsNotConsumed(t *testing.T) {
	is := is.New(t)
	b := newBench()
	first := b.get(is, 400)
	second := b.get(is, 400)
	b.start(second, 10)
	a := b.holders[0].workspaces["w"].accounts[Surplus]
	a.reclaim(1000)
	is.Equal(a.pending, int64(400))
	is.Equal(b.open[first].holds[Surplus].pending, int64(400))
}

func TestPendingTokensKeepTheBucketFromFilling(t *testing.T) {
	is := is.New(t)
	b := newBench()
	first := b.get(is, 1000)
	for range 10 {
		b.wait(time.Second)
		b.flush(0)
		if n := len(b.messages); b.messages[n-1].answer == nil {
			b.deliver(b.messages[n-1])
			b.deliver(b.messages[n])
		}
	}
	b.start(first, 1000)
	b.drainAll(is)
	is.Equal(len(b.log), 1)
}
