package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// protocolEnv connects two owners and three holders without a network. A test
// delivers each message at any time, any number of times, or never.
type protocolEnv struct {
	now          time.Time
	owners       [2]*Owner
	tenures      [2]Tenure
	currentOwner int
	moves        int64
	holders      []*Holder
	messages     []message
	reservations []*Reservation
	logIndex     map[*Reservation]int
	log          []Consumption
}

// message is a request or an answer in transit.
type message struct {
	holder       int
	owner        int
	ownerRequest *OwnerRequest
	request      *wire.QuotaRequest
	answer       *wire.QuotaGrant
}

// envOwnership is the ownership as one process sees it. A holder may have
// outdated information; an owner always knows whether it owns the shard.
type envOwnership struct {
	env    *protocolEnv
	owner  int
	cached *cachedOwner
}

func (v envOwnership) Owner(int) (string, int64, bool) { return v.cached.host, v.cached.fence, true }

func (v envOwnership) Owned(int) (Tenure, bool) {
	return v.env.tenures[v.owner], v.env.currentOwner == v.owner
}

// envPauses straddle the points in time at which grants expire.
var envPauses = []time.Duration{
	time.Second, 4400 * time.Millisecond, 4700 * time.Millisecond, 5100 * time.Millisecond, 10 * time.Second,
}

var envLimit = Limit{Rate: 100, Burst: 1000}

func newProtocolEnv() *protocolEnv {
	env := &protocolEnv{now: time.Unix(1000, 0), logIndex: make(map[*Reservation]int)}
	s := DefaultSettings()
	s.BasePercent = 0
	limits := func(string) (Limit, bool) { return envLimit, true }
	for i := range env.owners {
		env.owners[i] = NewOwner(&s, limits, NoOwner{}, envOwnership{env: env, owner: i})
	}
	env.tenures[0] = Tenure{Fence: 1, FirstOwner: true}
	for range 3 {
		view := envOwnership{env: env, cached: &cachedOwner{host: "o0", fence: 1}}
		env.holders = append(env.holders, NewHolder(&s, NoOwner{}, view))
	}
	return env
}

// reserve reserves tokens at holder h, and sends a request to the owner if the
// holder is short of tokens.
func (env *protocolEnv) reserve(h int, tokens int64) {
	holder := env.holders[h]
	if r, ok := holder.Reserve(env.now, "w", tokens); ok {
		env.reservations = append(env.reservations, r)
		return
	}
	if ownerRequest := holder.PlanRequest(env.now, "w", tokens, envLimit, [partCount]bool{}); ownerRequest != nil {
		env.send(h, ownerRequest)
	}
}

func (env *protocolEnv) send(h int, ownerRequest *OwnerRequest) {
	owner := 0
	if ownerRequest.Host == "o1" {
		owner = 1
	}
	request := proto.Clone(ownerRequest.Request).(*wire.QuotaRequest)
	env.messages = append(env.messages, message{holder: h, owner: owner, ownerRequest: ownerRequest, request: request})
}

// deliver delivers one message to its receiver. The same message may be
// delivered again.
func (env *protocolEnv) deliver(m message) {
	if m.answer != nil {
		env.holders[m.holder].ApplyAnswer(env.now, m.ownerRequest, m.answer)
		return
	}
	m.answer = env.owners[m.owner].Handle(env.now, fmt.Sprint("h", m.holder), m.request)
	env.messages = append(env.messages, m)
}

// start starts reservation i and logs the tokens that it will use.
func (env *protocolEnv) start(i int, used int64) {
	r := env.reservations[i]
	if _, done := env.logIndex[r]; done || r.settled {
		return
	}
	for _, h := range env.holders {
		if h.workspaces["w"] == nil || r.allocations[Surplus].account != h.workspaces["w"].accounts[Surplus] {
			continue
		}
		if h.Start(env.now, r) {
			env.logIndex[r] = len(env.log)
			env.log = append(env.log, Consumption{At: env.now, Workspace: "w", Tokens: min(used, r.tokens)})
		}
	}
}

func (env *protocolEnv) settle(i int) {
	r := env.reservations[i]
	used := int64(0)
	if at, ok := env.logIndex[r]; ok {
		used = env.log[at].Tokens
	}
	env.holders[0].Settle(r, used)
}

// moveOwner assigns the shard to the other owner, after the previous owner has
// learned of its loss. Holders are informed one at a time.
func (env *protocolEnv) moveOwner() {
	env.moves++
	env.currentOwner = 1 - env.currentOwner
	env.tenures[env.currentOwner] = Tenure{Fence: env.moves + 1}
}

func (env *protocolEnv) informHolder(h int) {
	view := env.holders[h].ownership[Surplus].(envOwnership)
	*view.cached = cachedOwner{host: fmt.Sprint("o", env.currentOwner), fence: env.tenures[env.currentOwner].Fence}
}

// spendAll reserves and starts as much as a holder can get when messages are
// delivered at once, so that any excess token shows in the log.
func (env *protocolEnv) spendAll(h int) {
	const size, rounds = 40, 60
	for range rounds {
		before, sent := len(env.reservations), len(env.messages)
		env.reserve(h, size)
		if len(env.reservations) > before {
			env.start(before, size)
			continue
		}
		if len(env.messages) == sent {
			return
		}
		env.deliver(env.messages[sent])
		env.deliver(env.messages[sent+1])
		if env.holders[h].workspaces["w"].balance(env.now) < size {
			return
		}
	}
}

func (env *protocolEnv) flush(h int) {
	for _, ownerRequest := range env.holders[h].DueReports(env.now) {
		env.send(h, ownerRequest)
	}
}

// TestProtocolEnforcesLimitsInAnyMessageOrder drops, repeats and reorders
// messages, moves the owner and advances the time at random.
func TestProtocolEnforcesLimitsInAnyMessageOrder(t *testing.T) {
	t.Parallel()
	consumed := 0
	rapid.Check(t, func(t *rapid.T) {
		env := newProtocolEnv()
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			env.step(t)
		}
		consumed += len(env.log)
		for _, e := range Audit(map[string]Limit{"w": envLimit}, env.log) {
			t.Fatalf("consumption exceeds the limit by %d tokens at %v", e.Over, e.At)
		}
	})
	if consumed < 1000 {
		t.Fatalf("only %d consumptions, want at least 1000 to exercise the protocol", consumed)
	}
}

func (env *protocolEnv) step(t *rapid.T) {
	host := rapid.IntRange(0, len(env.holders)-1).Draw(t, "host")
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2:
		env.reserve(host, rapid.Int64Range(1, 600).Draw(t, "tokens"))
	case 3, 4, 5, 6:
		if n := len(env.messages); n > 0 {
			i := rapid.IntRange(max(0, n-6), n-1).Draw(t, "message")
			env.deliver(env.messages[i])
		}
	case 7:
		if n := len(env.messages); n > 0 {
			env.deliver(env.messages[rapid.IntRange(0, n-1).Draw(t, "old message")])
		}
	case 8, 9, 10:
		if n := len(env.reservations); n > 0 {
			env.start(rapid.IntRange(max(0, n-4), n-1).Draw(t, "start"), rapid.SampledFrom([]int64{0, 10, 600}).Draw(t, "used"))
		}
	case 11:
		if n := len(env.reservations); n > 0 {
			env.settle(rapid.IntRange(0, n-1).Draw(t, "settle"))
		}
	case 12:
		env.flush(host)
	case 16, 17:
		for h := range rapid.IntRange(1, len(env.holders)).Draw(t, "drained") {
			env.spendAll((host + h) % len(env.holders))
		}
	case 13:
		env.now = env.now.Add(rapid.SampledFrom(envPauses).Draw(t, "pause"))
	case 14:
		env.now = env.now.Add(time.Duration(rapid.Int64Range(1, int64(200*time.Millisecond)).Draw(t, "short pause")))
	case 15:
		if rapid.IntRange(0, 3).Draw(t, "move") == 0 {
			env.moveOwner()
		}
		env.informHolder(host)
	}
}
