package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/catalog"
)

const window = 8 * time.Second

var start = time.Unix(1_700_000_000, 0)

func newWorkspace(rate, burst float64) *catalog.Workspace {
	return &catalog.Workspace{Name: "w", Rate: rate, Burst: burst}
}

// peerSet is a Peers whose state is set by tests.
type peerSet struct{ reachable, unreachable []string }

func (p *peerSet) State() PeerState {
	return PeerState{Reachable: p.reachable, Unreachable: p.unreachable, Hosts: 1 + len(p.reachable) + len(p.unreachable)}
}

func (*peerSet) TriggerExchange() {}

var noPeers = &peerSet{}

// newFullLimiter returns a limiter of a process that starts with the
// deployment.
func newFullLimiter(peers Peers) *Limiter {
	return New(start, Settings{FirstStart: true, Window: window, Rand: highRand}, peers)
}

// highRand is a random number that admits no request larger than the available tokens.
func highRand() float64 { return 0.999 }

func reserve(l *Limiter, after time.Duration, tokens int64) (time.Duration, bool) {
	return l.Reserve(start.Add(after), newWorkspace(25, 800), tokens)
}

// The limit of a window is rate x window + burst, here 1000 tokens, less a
// reserve of a tenth when no overage is allowed.
const usableTokens = 900

func TestReserveAllowsRateAndBurstPerWindow(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	_, ok := reserve(l, 0, 800)
	is.True(ok)
	_, ok = reserve(l, time.Second, usableTokens-800)
	is.True(ok)
	retry, ok := reserve(l, 2*time.Second, 20)
	is.True(!ok)
	is.True(retry > 6*time.Second && retry < 7*time.Second) // when the first tokens leave the window
	_, ok = reserve(l, 2*time.Second+retry, 20)
	is.True(ok)
}

// A workspace with a steady load gets its burst in each window, not only once.
func TestReserveAllowsSteadyBurstInEachWindow(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	const tokensPerSecond = 104 // with a rate of 25 and a burst of 800 in 8 s
	for at := time.Duration(0); at < time.Minute; at += time.Second / 4 {
		_, ok := reserve(l, at, tokensPerSecond/4)
		is.True(ok)
	}
}

// A workspace that requests many times its rate gets it evenly once its burst
// is consumed.
func TestReserveSpreadsRateUnderOverload(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	perSecond := make([]int64, 40)
	for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
		if _, ok := reserve(l, at, 5); ok {
			perSecond[at/time.Second] += 5
		}
	}
	for _, consumed := range perSecond[16:] {
		is.True(consumed > 60 && consumed < 150)
	}
}

func TestReserveAdmitsOversizedRequestInEmptyWindow(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	_, ok := reserve(l, 0, 5000)
	is.True(ok)
	_, ok = reserve(l, 7*time.Second, 1)
	is.True(!ok)
	_, ok = reserve(l, time.Minute, 1)
	is.True(ok)
}

// A restarted process may follow one that has just consumed the whole limit.
func TestReserveAssumesFullUsageAfterRestart(t *testing.T) {
	is := is.New(t)
	l := New(start, Settings{Window: window}, noPeers)
	_, ok := reserve(l, 0, 1)
	is.True(!ok)
	retry, ok := reserve(l, 2*time.Second, usableTokens/2)
	is.True(!ok)
	is.True(retry > time.Second && retry < 3*time.Second)
	_, ok = reserve(l, 2*time.Second, usableTokens/5)
	is.True(ok)
	_, ok = reserve(l, 12*time.Second, usableTokens)
	is.True(ok)
}

func TestRefundReleasesTokens(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	_, ok := reserve(l, 0, 800)
	is.True(ok)
	l.Refund(start.Add(time.Second), start, "w", 800)
	_, ok = reserve(l, time.Second, 800)
	is.True(ok)
	is.Equal(l.Usage()["w"], int64(800))
	// Refunds of tokens that have already left the window release nothing.
	l.Refund(start.Add(time.Minute), start.Add(time.Second), "w", 800)
	_, ok = reserve(l, time.Minute, 800)
	is.True(ok)
	_, ok = reserve(l, time.Minute, 1)
	is.True(!ok)
}

func TestReserveWithoutRateIsUnlimited(t *testing.T) {
	is := is.New(t)
	_, ok := newFullLimiter(noPeers).Reserve(start, newWorkspace(0, 0), 1<<40)
	is.True(ok)
}

// A lowered rate applies immediately, also to usage already in the window.
func TestReserveAppliesLoweredRateImmediately(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	_, ok := reserve(l, 0, 500)
	is.True(ok)
	_, ok = l.Reserve(start.Add(time.Second), newWorkspace(50, 100), 1)
	is.True(!ok)
}

// What an older process consumed before the limiter started is part of the
// assumed prior usage; the usage of a younger one counts from its first report.
func TestAddPeerUsageCountsReportedUsage(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	l.AddPeerUsage(start, "p", "older", true, map[string]int64{"w": 100_000})
	_, ok := reserve(l, 0, 100)
	is.True(ok)
	l.AddPeerUsage(start, "p", "older", true, map[string]int64{"w": 100_400})
	l.AddPeerUsage(start, "q", "younger", false, map[string]int64{"w": 400})
	_, ok = reserve(l, 0, 1)
	is.True(!ok)
	// The usage of a peer that has left stays counted.
	l.RemovePeer("p")
	_, ok = reserve(l, time.Second, 1)
	is.True(!ok)
}

// A host consumes only its share of the reserve, and of half of the tokens that are
// left, until its peers have received its usage.
func TestReserveBoundsUnsentUsage(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(&peerSet{reachable: []string{"b"}})
	l.AddPeerUsage(start, "b", "b-1", false, map[string]int64{"w": usableTokens - 100})
	_, ok := reserve(l, 4*time.Second, 70) // within half of the reserve of 100 and of 50
	is.True(ok)
	retry, ok := reserve(l, 4*time.Second, 10)
	is.True(!ok)
	is.Equal(retry, unsentRetry)
	l.Acknowledged("b", l.Usage())
	_, ok = reserve(l, 4*time.Second, 10)
	is.True(ok)
}

// Tokens that a host consumed while it was out of touch count once.
func TestAdoptedUsageCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	l.Adopt(start, "m-1", map[string]int64{"w": 500}, map[string]int64{"w": 100}) // 400 are older than the window
	l.Adopt(start, "m-1", map[string]int64{"w": 500}, map[string]int64{"w": 100})
	l.Adopt(start, "m-1", map[string]int64{"w": 530}, map[string]int64{"w": 130})
	is.Equal(l.Usage()["w"], int64(130))
	is.Equal(l.RecentUsage(start)["w"], int64(130))
	_, ok := reserve(l, time.Second, usableTokens-130+1)
	is.True(!ok)
}

// A host that has not received the usage of the others assumes the worst for a window.
func TestResetAssumesFullWindow(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(noPeers)
	_, ok := reserve(l, 0, 300)
	is.True(ok)
	l.Reset(start.Add(time.Second))
	is.Equal(l.Usage()["w"], int64(300))
	_, ok = reserve(l, time.Second, 100)
	is.True(!ok)
	_, ok = reserve(l, time.Second+window, 100)
	is.True(ok)
}

// Ten granting hosts with uneven shares of the callers serve a workspace that uses
// nearly its rate: hardly any request is refused.
func TestRequestsWithinRateAreGranted(t *testing.T) {
	is := is.New(t)
	const granters, step, length = 10, 10 * time.Millisecond, 40 * time.Second
	const rate, slack = 120_000.0, 140_000.0
	w := newWorkspace(rate, rate)
	rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	limiters, peerSets := make([]*Limiter, granters), make([]*peerSet, granters)
	names := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}
	for i := range limiters {
		peerSets[i] = &peerSet{reachable: append(append([]string{}, names[:i]...), names[i+1:]...)}
		limiters[i] = New(start, Settings{Overage: 0.1, Slack: slack, FirstStart: true, Window: window, Rand: rng.Float64}, peerSets[i])
	}
	requests, granted := 0, 0
	var consumed []consumption
	for at := time.Duration(0); at < length; at += step {
		// Sizes are spread widely around 6,000 tokens, callers come in proportion to
		// the host's number.
		for range 2 {
			if rng.Float64() > 0.92*rate*step.Seconds()/6000/2 {
				continue
			}
			size := int64(min(54_000, 1200+rng.ExpFloat64()*4800))
			l := limiters[min(rng.IntN(granters), rng.IntN(granters))]
			requests++
			for try := range 6 { // the gateway waits for up to 120 ms
				if _, ok := l.Reserve(start.Add(at+time.Duration(try)*unsentRetry), w, size); ok {
					granted++
					consumed = append(consumed, consumption{at, size})
					break
				}
			}
		}
		if at%(90*time.Millisecond) != 0 {
			continue
		}
		for i, from := range limiters {
			for j, to := range limiters {
				if i != j {
					usage := from.Usage()
					to.AddPeerUsage(start.Add(at), names[i], names[i], false, usage)
					from.Acknowledged(names[j], usage)
				}
			}
		}
	}
	is.True(float64(granted) >= 0.99*float64(requests))
	is.True(float64(maxInWindow(consumed, window)) <= (rate*window.Seconds()+rate)*1.1+slack)
}

// A request larger than that share is admitted if there is no other unsent
// usage and every host could admit one like it, or else at random.
func TestReserveAdmitsLargeRequestWithoutUnsentUsage(t *testing.T) {
	is := is.New(t)
	l := newFullLimiter(&peerSet{reachable: []string{"b"}})
	_, ok := reserve(l, 0, 400)
	is.True(ok)
	_, ok = reserve(l, 0, 400)
	is.True(!ok)
	l.Acknowledged("b", l.Usage())
	_, ok = reserve(l, 0, 400) // 500 tokens are left, but both hosts would consume 800
	is.True(!ok)
	l.settings.Rand = func() float64 { return 0.5 }
	_, ok = reserve(l, 0, 400)
	is.True(ok)
}

// The share of an unreachable peer is set aside, or its known usage if that is
// more.
func TestReserveSetsAsideShareOfUnreachablePeer(t *testing.T) {
	is := is.New(t)
	peers := &peerSet{unreachable: []string{"b"}}
	l := newFullLimiter(peers)
	_, ok := reserve(l, 0, usableTokens/2)
	is.True(ok)
	_, ok = reserve(l, 0, 10)
	is.True(!ok)
	peers.reachable, peers.unreachable = peers.unreachable, nil
	l.Acknowledged("b", l.Usage())
	_, ok = reserve(l, 0, 10)
	is.True(ok)
	// Nothing more is set aside for a peer that exceeded its share before it
	// became unreachable.
	l = newFullLimiter(peers)
	l.AddPeerUsage(start, "b", "b1", false, map[string]int64{"w": 600})
	peers.reachable, peers.unreachable = nil, peers.reachable
	_, ok = reserve(l, time.Second, usableTokens-600)
	is.True(ok)
}

// consumption is tokens consumed by a host.
type consumption struct {
	at     time.Duration
	tokens int64
}

// maxInWindow returns the highest number of tokens in any window.
func maxInWindow(consumed []consumption, window time.Duration) (highest int64) {
	first, current := 0, int64(0)
	for _, c := range consumed {
		current += c.tokens
		for c.at-consumed[first].at >= window {
			current -= consumed[first].tokens
			first++
		}
		highest = max(highest, current)
	}
	return highest
}

// Delayed reports and partitions between hosts, before and after the hosts detect
// them, must not let the total usage in any window exceed
// (rate x window + burst) x 1.1 + slack.
func TestHostsStayWithinRateTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 140_000.0
		hosts := rapid.IntRange(2, len(hostNames)).Draw(t, "hosts")
		rate := float64(rapid.IntRange(36_000, 240_000).Draw(t, "rate"))
		w := newWorkspace(rate, rate)
		delay := time.Duration(rapid.IntRange(1, 10).Draw(t, "delay")) * 20 * time.Millisecond
		splitFrom := time.Duration(rapid.IntRange(0, 12).Draw(t, "split from")) * time.Second
		splitTo := splitFrom + time.Duration(rapid.IntRange(0, 10).Draw(t, "split for"))*time.Second
		size := int64(rapid.IntRange(200, 12_000).Draw(t, "size"))
		busy := rapid.IntRange(1, hosts).Draw(t, "busy hosts")
		sum := maxInWindow(simulateHosts(w, slack, delay, splitFrom, splitTo, size, hosts, busy), window)
		if bound := (w.Rate*window.Seconds()+w.Burst)*1.1 + slack; float64(sum) > bound {
			t.Fatalf("%d tokens in a window, bound %.0f", sum, bound)
		}
	})
}

var hostNames = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

// simulateHosts runs hosts whose callers send requests continuously.
func simulateHosts(w *catalog.Workspace, slack float64, delay, splitFrom, splitTo time.Duration, size int64, hosts, busy int) []consumption {
	const step, length, detectionDelay = 20 * time.Millisecond, 20 * time.Second, 600 * time.Millisecond
	peerSets, limiters := make([]*peerSet, hosts), make([]*Limiter, hosts)
	names := hostNames[:hosts]
	others := make([][]string, hosts)
	rng := rand.New(rand.NewPCG(1, uint64(size))) //nolint:gosec // a fixed seed
	for i := range limiters {
		peerSets[i] = &peerSet{}
		others[i] = append(append([]string{}, names[:i]...), names[i+1:]...)
		limiters[i] = New(start, Settings{Overage: 0.1, Slack: slack, FirstStart: true, Window: window, Rand: rng.Float64}, peerSets[i])
	}
	var consumed []consumption
	for at := time.Duration(0); at < length; at += step {
		split := at >= splitFrom && at < splitTo
		for i, l := range limiters {
			peerSets[i].reachable, peerSets[i].unreachable = nil, others[i]
			if !split || at < splitFrom+detectionDelay {
				peerSets[i].reachable, peerSets[i].unreachable = others[i], nil
			}
			for i < busy {
				if _, ok := l.Reserve(start.Add(at), w, size); !ok {
					break
				}
				consumed = append(consumed, consumption{at, size})
			}
		}
		if at%delay != 0 || split {
			continue
		}
		for i, from := range limiters {
			for j, to := range limiters {
				if i != j {
					usage := from.Usage()
					to.AddPeerUsage(start.Add(at), names[i], names[i], false, usage)
					from.Acknowledged(names[j], usage)
				}
			}
		}
	}
	return consumed
}
