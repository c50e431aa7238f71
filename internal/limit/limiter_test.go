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

func space(rate, burst float64) *catalog.Workspace {
	return &catalog.Workspace{Name: "w", Rate: rate, Burst: burst}
}

// group is peers whose state tests set.
type group struct{ heard, silent []string }

func (g *group) Audible() (heard, silent []string) { return g.heard, g.silent }

func (*group) Urge() {}

var alone = &group{}

// full is a limiter of a process that starts with the deployment.
func full(peers Peers) *Limiter {
	return New(start, Settings{Full: true, Window: window, Draw: never}, peers)
}

// never is a draw that lets nothing pass.
func never() float64 { return 0.999 }

func take(l *Limiter, after time.Duration, tokens int64) (time.Duration, bool) {
	return l.Take(start.Add(after), space(25, 800), tokens)
}

// Of rate x window + burst, 1000 here, a tenth is the reserve where no overage
// is allowed.
const usable = 900

func TestAWindowHoldsTheRateAndTheBurst(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	_, ok := take(l, 0, 800)
	is.True(ok)
	_, ok = take(l, time.Second, usable-800)
	is.True(ok)
	retry, ok := take(l, 2*time.Second, 20)
	is.True(!ok)
	is.True(retry > 6*time.Second && retry < 7*time.Second) // as the first leave the window
	_, ok = take(l, 2*time.Second+retry, 20)
	is.True(ok)
}

// A workspace that asks steadily has its burst in each window, not once.
func TestASteadyWorkspaceHasItsBurstInEachWindow(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	const pace = 104 // a second, with a rate of 25 and a burst of 800 in 8 s
	for at := time.Duration(0); at < time.Minute; at += time.Second / 4 {
		_, ok := take(l, at, pace/4)
		is.True(ok)
	}
}

// One that asks for many times its rate gets it evenly, once its burst is gone.
func TestAHotWorkspaceGetsItsRateEvenly(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	seconds := make([]int64, 40)
	for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
		if _, ok := take(l, at, 5); ok {
			seconds[at/time.Second] += 5
		}
	}
	for _, taken := range seconds[16:] {
		is.True(taken > 60 && taken < 150)
	}
}

func TestARequestLargerThanTheWindowPassesAlone(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	_, ok := take(l, 0, 5000)
	is.True(ok)
	_, ok = take(l, 7*time.Second, 1)
	is.True(!ok)
	_, ok = take(l, time.Minute, 1)
	is.True(ok)
}

// A process that starts again may follow one that has just taken all.
func TestARestartedProcessAssumesThatAllIsTaken(t *testing.T) {
	is := is.New(t)
	l := New(start, Settings{Window: window}, alone)
	_, ok := take(l, 0, 1)
	is.True(!ok)
	retry, ok := take(l, 2*time.Second, usable/2)
	is.True(!ok)
	is.True(retry > time.Second && retry < 3*time.Second)
	_, ok = take(l, 2*time.Second, usable/5)
	is.True(ok)
	_, ok = take(l, 12*time.Second, usable)
	is.True(ok)
}

func TestGivenTokensAreThereAgain(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	_, ok := take(l, 0, 800)
	is.True(ok)
	l.Give(start.Add(time.Second), start, "w", 800)
	_, ok = take(l, time.Second, 800)
	is.True(ok)
	is.Equal(l.Spent()["w"], int64(800))
	// What is given back after it has left the window frees nothing.
	l.Give(start.Add(time.Minute), start.Add(time.Second), "w", 800)
	_, ok = take(l, time.Minute, 800)
	is.True(ok)
	_, ok = take(l, time.Minute, 1)
	is.True(!ok)
}

func TestNoRateIsNoLimit(t *testing.T) {
	is := is.New(t)
	_, ok := full(alone).Take(start, space(0, 0), 1<<40)
	is.True(ok)
}

// A lower rate holds as soon as it is known.
func TestALowerRateHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	_, ok := take(l, 0, 500)
	is.True(ok)
	_, ok = l.Take(start.Add(time.Second), space(50, 100), 1)
	is.True(!ok)
}

// What an older process took before this one started is assumed already; what a
// younger one took is counted from its first report on.
func TestPeersTakings(t *testing.T) {
	is := is.New(t)
	l := full(alone)
	l.Peer(start, "p", "older", true, map[string]int64{"w": 100_000})
	_, ok := take(l, 0, 100)
	is.True(ok)
	l.Peer(start, "p", "older", true, map[string]int64{"w": 100_400})
	l.Peer(start, "q", "younger", false, map[string]int64{"w": 400})
	_, ok = take(l, 0, 1)
	is.True(!ok)
	// A peer that has left took what it took.
	l.Gone("p")
	_, ok = take(l, time.Second, 1)
	is.True(!ok)
}

// Before its peers have heard of it, a host takes only its part of the reserve.
func TestAHostTakesItsPartUntilPeersKnow(t *testing.T) {
	is := is.New(t)
	l := full(&group{heard: []string{"b"}})
	_, ok := take(l, 0, 45) // half of the reserve of 100
	is.True(ok)
	retry, ok := take(l, 0, 10)
	is.True(!ok)
	is.Equal(retry, untoldRetry)
	l.Told("b", l.Spent())
	_, ok = take(l, 0, 10)
	is.True(ok)
}

// A request that is larger than that part passes by itself, as long as there is
// room for one on each host, and by a draw when there is less.
func TestALargeRequestPassesByItself(t *testing.T) {
	is := is.New(t)
	l := full(&group{heard: []string{"b"}})
	_, ok := take(l, 0, 400)
	is.True(ok)
	_, ok = take(l, 0, 400)
	is.True(!ok)
	l.Told("b", l.Spent())
	_, ok = take(l, 0, 400) // 500 are left: both hosts would take 800
	is.True(!ok)
	l.settings.Draw = func() float64 { return 0.5 }
	_, ok = take(l, 0, 400)
	is.True(ok)
}

// For a silent peer its part is set aside, or what it is known to have taken.
func TestASilentPeersPartIsSetAside(t *testing.T) {
	is := is.New(t)
	g := &group{silent: []string{"b"}}
	l := full(g)
	_, ok := take(l, 0, usable/2)
	is.True(ok)
	_, ok = take(l, 0, 10)
	is.True(!ok)
	g.heard, g.silent = g.silent, nil
	l.Told("b", l.Spent())
	_, ok = take(l, 0, 10)
	is.True(ok)
	// One that took more than its part before it fell silent takes no more.
	l = full(g)
	l.Peer(start, "b", "b1", false, map[string]int64{"w": 600})
	g.heard, g.silent = nil, g.heard
	_, ok = take(l, time.Second, usable-600)
	is.True(ok)
}

// taking is tokens that some host took.
type taking struct {
	at     time.Duration
	tokens int64
}

// most is the most tokens in any window.
func most(taken []taking, window time.Duration) (sum int64) {
	first, now := 0, int64(0)
	for _, x := range taken {
		now += x.tokens
		for x.at-taken[first].at >= window {
			now -= taken[first].tokens
			first++
		}
		sum = max(sum, now)
	}
	return sum
}

// Hosts that hear each other late, lose each other, or split, stay within the
// bound over every window: (rate x window + burst) x 1.1 + slack.
func TestHostsTogetherStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, slack = 4, 140_000.0
		rate := float64(rapid.IntRange(36_000, 240_000).Draw(t, "rate"))
		w := space(rate, rate)
		delay := time.Duration(rapid.IntRange(1, 10).Draw(t, "delay")) * 20 * time.Millisecond
		splitFrom := time.Duration(rapid.IntRange(0, 12).Draw(t, "split from")) * time.Second
		splitTo := splitFrom + time.Duration(rapid.IntRange(0, 10).Draw(t, "split for"))*time.Second
		size := int64(rapid.IntRange(200, 12_000).Draw(t, "size"))
		busy := rapid.IntRange(1, hosts).Draw(t, "busy hosts")
		sum := most(simulate(w, slack, delay, splitFrom, splitTo, size, hosts, busy), window)
		if bound := (w.Rate*window.Seconds()+w.Burst)*1.1 + slack; float64(sum) > bound {
			t.Fatalf("%d tokens in a window, bound %.0f", sum, bound)
		}
	})
}

// simulate plays hosts whose callers ask without end.
func simulate(w *catalog.Workspace, slack float64, delay, splitFrom, splitTo time.Duration, size int64, hosts, busy int) []taking {
	const step, length, noticed = 20 * time.Millisecond, 20 * time.Second, 600 * time.Millisecond
	groups, limiters := make([]*group, hosts), make([]*Limiter, hosts)
	names := []string{"a", "b", "c", "d"}[:hosts]
	others := make([][]string, hosts)
	draws := rand.New(rand.NewPCG(1, uint64(size))) //nolint:gosec // a fixed seed
	for i := range limiters {
		groups[i] = &group{}
		others[i] = append(append([]string{}, names[:i]...), names[i+1:]...)
		limiters[i] = New(start, Settings{Overage: 0.1, Slack: slack, Full: true, Window: window, Draw: draws.Float64}, groups[i])
	}
	var taken []taking
	for at := time.Duration(0); at < length; at += step {
		split := at >= splitFrom && at < splitTo
		for i, l := range limiters {
			groups[i].heard, groups[i].silent = nil, others[i]
			if !split || at < splitFrom+noticed {
				groups[i].heard, groups[i].silent = others[i], nil
			}
			for i < busy {
				if _, ok := l.Take(start.Add(at), w, size); !ok {
					break
				}
				taken = append(taken, taking{at, size})
			}
		}
		if at%delay != 0 || split {
			continue
		}
		for i, from := range limiters {
			for j, to := range limiters {
				if i != j {
					spent := from.Spent()
					to.Peer(start.Add(at), names[i], names[i], false, spent)
					from.Told(names[j], spent)
				}
			}
		}
	}
	return taken
}
