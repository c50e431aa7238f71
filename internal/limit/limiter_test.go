package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/acacialink/acacialink/internal/catalog"
)

// testWindow is so long that the burst adds nothing to the rate.
const testWindow = 1000 * time.Hour

var start = time.Unix(1_700_000_000, 0)

func space(rate, burst float64) *catalog.Workspace {
	return &catalog.Workspace{Name: "w", Rate: rate, Burst: burst}
}

// group is peers whose state tests set.
type group struct {
	hosts int
	heard []string
}

func (g *group) Audible() (int, []string) { return g.hosts, g.heard }

func (*group) Urge() {}

var alone = &group{hosts: 1}

func TestARateRefillsTheBucket(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Full: true, Window: testWindow}, alone)
	w := space(100, 50)
	_, ok := l.Take(start, w, 50)
	is.True(ok)
	retry, ok := l.Take(start, w, 20)
	is.True(!ok)
	is.True((retry - 200*time.Millisecond).Abs() < time.Millisecond)
	_, ok = l.Take(start.Add(201*time.Millisecond), w, 20)
	is.True(ok)
}

// A process that starts again may follow one that has just used the burst up.
func TestARestartedBucketStartsEmpty(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Window: testWindow}, alone)
	_, ok := l.Take(start, space(100, 50), 1)
	is.True(!ok)
}

func TestGivenTokensAreThereAgain(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Full: true, Window: testWindow}, alone)
	w := space(100, 50)
	_, _ = l.Take(start, w, 50)
	l.Give("w", 50)
	_, ok := l.Take(start, w, 50)
	is.True(ok)
	is.Equal(l.Spent()["w"], int64(50))
}

func TestNoRateIsNoLimit(t *testing.T) {
	is := is.New(t)
	_, ok := New(Settings{Window: testWindow}, alone).Take(start, space(0, 0), 1<<40)
	is.True(ok)
}

// What an older process took before this one started is not this one's debt;
// what a younger one took is, from its first report on.
func TestPeersTakings(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Full: true, Window: testWindow}, alone)
	w := space(100, 50)
	_, ok := l.Take(start, w, 1)
	is.True(ok)
	l.Peer("older", true, map[string]int64{"w": 1000})
	_, ok = l.Take(start, w, 9)
	is.True(ok)
	l.Peer("older", true, map[string]int64{"w": 1020})
	l.Peer("younger", false, map[string]int64{"w": 20})
	_, ok = l.Take(start, w, 1)
	is.True(!ok)
}

// A workspace that only peers have served so far is charged for it too.
func TestPeersTakingsBeforeTheFirstOwn(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Full: true, Window: testWindow}, alone)
	l.Peer("p", false, map[string]int64{"w": 50})
	_, ok := l.Take(start, space(100, 50), 1)
	is.True(!ok)
}

// Before its peers have heard of it, a host takes only its part of a bucket.
func TestAHostTakesItsPartUntilPeersKnow(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Full: true, Window: testWindow}, &group{hosts: 2, heard: []string{"b"}})
	w := space(100, 100)
	_, ok := l.Take(start, w, 40)
	is.True(ok)
	retry, ok := l.Take(start, w, 20)
	is.True(!ok)
	is.Equal(retry, untoldRetry)
	l.Told("b", l.Spent())
	_, ok = l.Take(start, w, 20)
	is.True(ok)
}

// What is set aside for a silent peer comes back when it is heard again.
func TestASilentPeersPartIsSetAside(t *testing.T) {
	is := is.New(t)
	g := &group{hosts: 2}
	l := New(Settings{Full: true, Window: testWindow}, g)
	w := space(100, 100)
	_, ok := l.Take(start, w, 40)
	is.True(ok)
	_, ok = l.Take(start, w, 40)
	is.True(!ok)
	g.heard = []string{"b"}
	l.Told("b", l.Spent())
	_, ok = l.Take(start, w, 40)
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
		const hosts, window, slack = 4, 8 * time.Second, 140_000.0
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
	for i := range limiters {
		groups[i] = &group{hosts: hosts}
		limiters[i] = New(Settings{Slack: slack, Full: true, Window: 8 * time.Second}, groups[i])
	}
	var taken []taking
	for at := time.Duration(0); at < length; at += step {
		split := at >= splitFrom && at < splitTo
		for i, l := range limiters {
			groups[i].heard = nil
			if !split || at < splitFrom+noticed {
				groups[i].heard = append(append([]string{}, names[:i]...), names[i+1:]...)
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
					to.Peer(names[i], false, spent)
					from.Told(names[j], spent)
				}
			}
		}
	}
	return taken
}
