package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// bench holds two owners and three holders without a network: a test delivers
// each message when it likes, as often as it likes, or never.
type bench struct {
	now      time.Time
	owners   [2]*Owner
	tenure   [2]Tenure
	owner    int
	moves    int64
	holders  []*Holder
	messages []message
	open     []*Reservation
	used     map[*Reservation]int
	log      []Consumption
}

// message is a request or an answer on its way.
type message struct {
	holder  int
	owner   int
	ask     *Ask
	request *wire.QuotaRequest
	answer  *wire.QuotaGrant
}

// benchView is the ownership as one process sees it: a holder may know an old
// owner, an owner always knows whether it is one.
type benchView struct {
	b     *bench
	owner int
	seen  *seenOwner
}

func (v benchView) Owner(int) (string, int64, bool) { return v.seen.host, v.seen.fence, true }

func (v benchView) Owned(int) (Tenure, bool) { return v.b.tenure[v.owner], v.b.owner == v.owner }

// benchPauses lie on both sides of the times after which grants end.
var benchPauses = []time.Duration{
	time.Second, 4400 * time.Millisecond, 4700 * time.Millisecond, 5100 * time.Millisecond, 10 * time.Second,
}

var benchLimit = Limit{Rate: 100, Burst: 1000}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0), used: make(map[*Reservation]int)}
	s := DefaultSettings()
	s.BasePercent = 0
	limits := func(string) (Limit, bool) { return benchLimit, true }
	for i := range b.owners {
		b.owners[i] = NewOwner(&s, limits, None{}, benchView{b: b, owner: i})
	}
	b.tenure[0] = Tenure{Fence: 1, Fresh: true}
	for range 3 {
		view := benchView{b: b, seen: &seenOwner{host: "o0", fence: 1}}
		b.holders = append(b.holders, NewHolder(&s, None{}, view))
	}
	return b
}

// reserve tries a request at a holder, and sends an ask if it lacks tokens.
func (b *bench) reserve(h int, tokens int64) {
	holder := b.holders[h]
	if r, ok := holder.Reserve(b.now, "w", tokens); ok {
		b.open = append(b.open, r)
		return
	}
	if ask := holder.Ask(b.now, "w", tokens, benchLimit, [partCount]bool{}); ask != nil {
		b.send(h, ask)
	}
}

func (b *bench) send(h int, ask *Ask) {
	owner := 0
	if ask.Host == "o1" {
		owner = 1
	}
	request := proto.Clone(ask.Request).(*wire.QuotaRequest)
	b.messages = append(b.messages, message{holder: h, owner: owner, ask: ask, request: request})
}

// deliver takes one message to its end; it may come again.
func (b *bench) deliver(m message) {
	if m.answer != nil {
		b.holders[m.holder].Answer(b.now, m.ask, m.answer)
		return
	}
	m.answer = b.owners[m.owner].Handle(b.now, fmt.Sprint("h", m.holder), m.request)
	b.messages = append(b.messages, m)
}

// start consumes a reservation with the tokens that it will turn out to use.
func (b *bench) start(i int, used int64) {
	r := b.open[i]
	if _, done := b.used[r]; done || r.settled {
		return
	}
	for _, h := range b.holders {
		if h.workspaces["w"] == nil || r.holds[Surplus].account != h.workspaces["w"].accounts[Surplus] {
			continue
		}
		if h.Start(b.now, r) {
			b.used[r] = len(b.log)
			b.log = append(b.log, Consumption{At: b.now, Workspace: "w", Tokens: min(used, r.tokens)})
		}
	}
}

func (b *bench) settle(i int) {
	r := b.open[i]
	used := int64(0)
	if at, ok := b.used[r]; ok {
		used = b.log[at].Tokens
	}
	b.holders[0].Settle(r, used)
}

// move gives the shard to the other owner, some time after the first one knows
// that it has lost it; holders learn of it one by one.
func (b *bench) move() {
	b.moves++
	b.owner = 1 - b.owner
	b.tenure[b.owner] = Tenure{Fence: b.moves + 1}
}

func (b *bench) tell(h int) {
	view := b.holders[h].ownership[Surplus].(benchView)
	*view.seen = seenOwner{host: fmt.Sprint("o", b.owner), fence: b.tenure[b.owner].Fence}
}

// drain reserves and starts all that a holder can get with prompt messages, so
// that any token too many shows.
func (b *bench) drain(h int) {
	const size, rounds = 40, 60
	for range rounds {
		before, sent := len(b.open), len(b.messages)
		b.reserve(h, size)
		if len(b.open) > before {
			b.start(before, size)
			continue
		}
		if len(b.messages) == sent {
			return
		}
		b.deliver(b.messages[sent])
		b.deliver(b.messages[sent+1])
		if b.holders[h].workspaces["w"].balance(b.now) < size {
			return
		}
	}
}

func (b *bench) flush(h int) {
	for _, ask := range b.holders[h].Flush(b.now) {
		b.send(h, ask)
	}
}

// TestNoExcessInAnyOrderOfMessages drops, repeats and reorders messages, moves
// the owner and lets time pass, all at random.
func TestNoExcessInAnyOrderOfMessages(t *testing.T) {
	t.Parallel()
	consumed := 0
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			b.step(t)
		}
		consumed += len(b.log)
		for _, e := range Audit(map[string]Limit{"w": benchLimit}, b.log) {
			t.Fatalf("%d tokens over at %v", e.Over, e.At)
		}
	})
	if consumed < 1000 {
		t.Fatalf("only %d consumptions: the test shows nothing", consumed)
	}
}

func (b *bench) step(t *rapid.T) {
	host := rapid.IntRange(0, len(b.holders)-1).Draw(t, "host")
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2:
		b.reserve(host, rapid.Int64Range(1, 600).Draw(t, "tokens"))
	case 3, 4, 5, 6:
		if n := len(b.messages); n > 0 {
			i := rapid.IntRange(max(0, n-6), n-1).Draw(t, "message")
			b.deliver(b.messages[i])
		}
	case 7:
		if n := len(b.messages); n > 0 {
			b.deliver(b.messages[rapid.IntRange(0, n-1).Draw(t, "old message")])
		}
	case 8, 9, 10:
		if n := len(b.open); n > 0 {
			b.start(rapid.IntRange(max(0, n-4), n-1).Draw(t, "start"), rapid.SampledFrom([]int64{0, 10, 600}).Draw(t, "used"))
		}
	case 11:
		if n := len(b.open); n > 0 {
			b.settle(rapid.IntRange(0, n-1).Draw(t, "settle"))
		}
	case 12:
		b.flush(host)
	case 16, 17:
		for h := range rapid.IntRange(1, len(b.holders)).Draw(t, "drained") {
			b.drain((host + h) % len(b.holders))
		}
	case 13:
		b.now = b.now.Add(rapid.SampledFrom(benchPauses).Draw(t, "pause"))
	case 14:
		b.now = b.now.Add(time.Duration(rapid.Int64Range(1, int64(200*time.Millisecond)).Draw(t, "little time")))
	case 15:
		if rapid.IntRange(0, 3).Draw(t, "move") == 0 {
			b.move()
		}
		b.tell(host)
	}
}
