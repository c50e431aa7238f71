package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each test in this file stages the message order that one rule of the protocol
// guards against, and audits what was consumed.

// mustReserve reserves tokens at holder 0, delivering messages at once, and
// returns the index of the reservation.
func (env *protocolEnv) mustReserve(is *is.I, tokens int64) int {
	is.Helper()
	n := len(env.reservations)
	env.reserve(0, tokens)
	if len(env.reservations) == n {
		env.deliver(env.messages[len(env.messages)-1])
		env.deliver(env.messages[len(env.messages)-1])
		env.reserve(0, tokens)
	}
	is.Equal(len(env.reservations), n+1)
	return n
}

// advance moves the clock forward.
func (env *protocolEnv) advance(d time.Duration) { env.now = env.now.Add(d) }

// spendAllAndAudit spends all available tokens and checks that no excess was
// consumed.
func (env *protocolEnv) spendAllAndAudit(is *is.I) {
	is.Helper()
	for h := range env.holders {
		env.spendAll(h)
	}
	is.Equal(len(Audit(map[string]Limit{"w": envLimit}, env.log)), 0)
}

func TestNewOwnerWaitsForPreviousGrantsToExpire(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	first := env.mustReserve(is, 1000)
	env.moveOwner()
	env.informHolder(1)
	env.spendAll(1) // the new owner begins its tenure
	env.advance(4400 * time.Millisecond)
	env.start(first, 1000) // holder 0 is unaware of the new owner
	env.spendAllAndAudit(is)
	is.Equal(env.log[0].Tokens, int64(1000))
}

func TestHolderIgnoresAnswersOfEarlierTenure(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	for _, h := range env.holders {
		h.ownership[Surplus].(envOwnership).cached.fence = 0 // the holder does not know the fence
	}
	env.reserve(0, 900)
	old := env.messages[0]
	env.deliver(old) // granted 900 in the first tenure
	late := env.messages[1]
	env.moveOwner()
	env.moveOwner() // the first owner again, with empty buckets and a new fence
	env.advance(100 * time.Millisecond)
	env.owners[0].Sweep(env.now)
	env.reserve(0, 900)
	env.deliver(env.messages[len(env.messages)-1])
	env.deliver(env.messages[len(env.messages)-1])
	env.deliver(late)
	is.Equal(env.holders[0].workspaces["w"].balance(env.now), int64(0))
}

func TestHolderDoesNotReviveExpiredAccount(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	env.reserve(0, 100)
	env.advance(time.Second)
	env.reserve(0, 100) // sent before the first answer arrives
	slow := env.messages[1]
	env.deliver(env.messages[0])
	env.deliver(env.messages[len(env.messages)-1])
	env.start(env.mustReserve(is, 60), 60)
	env.advance(4100 * time.Millisecond) // the owner has counted 100 as spent
	env.deliver(slow)
	env.advance(100 * time.Millisecond)
	env.deliver(env.messages[len(env.messages)-1])
	is.Equal(env.holders[0].workspaces["w"].balance(env.now), int64(0))
}

func TestOwnerRejectsReportForExpiredAccount(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	env.mustReserve(is, 500)
	env.advance(4 * time.Second)
	report := env.holders[0].DueReports(env.now)
	is.Equal(len(report), 1)
	env.advance(2 * time.Second) // the report is in transit longer than the account's lifetime
	env.send(0, report[0])
	env.deliver(env.messages[len(env.messages)-1])
	answer := env.messages[len(env.messages)-1].answer
	is.Equal(answer.GetError(), errorUnknownAccount)
}

func TestReclaimSkipsUnstartedReservations(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	first := env.mustReserve(is, 400)
	second := env.mustReserve(is, 400)
	env.start(second, 10)
	a := env.holders[0].workspaces["w"].accounts[Surplus]
	a.reclaim(1000)
	is.Equal(a.pending, int64(400))
	is.Equal(env.reservations[first].allocations[Surplus].pending, int64(400))
}

func TestPendingTokensBlockBucketRefill(t *testing.T) {
	is := is.New(t)
	env := newProtocolEnv()
	first := env.mustReserve(is, 1000)
	for range 10 {
		env.advance(time.Second)
		env.flush(0)
		if n := len(env.messages); env.messages[n-1].answer == nil {
			env.deliver(env.messages[n-1])
			env.deliver(env.messages[n])
		}
	}
	env.start(first, 1000)
	env.spendAllAndAudit(is)
	is.Equal(len(env.log), 1)
}
