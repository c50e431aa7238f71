package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Scenario is a named generator of traces.
type Scenario struct {
	Name string
	// Site is "festival" or "consortium".
	Site string
	// About says in one line what happens.
	About string

	model string
	build func(*generator)
}

// Scenarios lists all generators.
func Scenarios() []Scenario {
	return []Scenario{
		{"festival-day", "festival", "chats, a shift to long dossiers, and back", "lantern", festivalDay},
		{"tenant-surge", "festival", "the schools send five times their rate for a third of the time", "lantern", tenantSurge},
		{"domain-loss", "festival", "chats while a failure domain is lost and returns", "lantern", domainLoss},
		{"catalogue-burst", "consortium", "bursts of long catalogues over short chats", "engraver", catalogueBurst},
		{"deposit-loss", "consortium", "deposits and lookups while an entry host is lost and returns", "engraver", depositLoss},
	}
}

// Generate returns the trace of a scenario. The same name, seed, length and
// load give the same trace. load scales all rates of arrival; 1 suits nine
// engines of the stand-in's default speed.
func Generate(name string, seed uint64, length time.Duration, load float64) (*Trace, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return nil, errors.Errorf("no scenario %q", name)
	}
	if length <= 0 || load <= 0 {
		return nil, errors.New("a scenario's length and load must be above zero")
	}
	g := &generator{
		trace:  &Trace{Name: name, Seed: seed, Model: all[i].model},
		rng:    rand.New(rand.NewPCG(seed, uint64(i))),
		length: length,
		load:   load,
	}
	all[i].build(g)
	g.trace.sort()
	return g.trace, nil
}

// generator builds one trace.
type generator struct {
	trace  *Trace
	rng    *rand.Rand
	length time.Duration
	load   float64
}

// rate gives requests a second at a share of the trace's length, from 0 to 1.
type rate func(share float64) float64

// constant is a rate that does not change.
func constant(perSecond float64) rate { return func(float64) float64 { return perSecond } }

// arrivals calls add at the moments of a Poisson process with a rate that
// never exceeds peak, by thinning.
func (g *generator) arrivals(peak float64, r rate, add func(at time.Duration)) {
	peak *= g.load
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if at >= g.length {
			return
		}
		if g.rng.Float64()*peak < r(at.Seconds()/g.length.Seconds())*g.load {
			add(at)
		}
	}
}

// between returns a number from low to high.
func (g *generator) between(low, high int) int { return low + g.rng.IntN(high-low+1) }

// add appends a request.
func (g *generator) add(r Request) { g.trace.Requests = append(g.trace.Requests, r) }

// event appends an event at a share of the trace's length.
func (g *generator) event(share float64, action, target string) {
	at := time.Duration(share * float64(g.length))
	g.trace.Events = append(g.trace.Events, Event{At: at, Action: action, Target: target})
}

// Sizes of a chat, in tokens.
const (
	chatPromptLow, chatPromptHigh = 150, 900
	chatAnswerLow, chatAnswerHigh = 40, 120
)

// share is a workspace's part of some traffic.
type share struct {
	workspace string
	part      float64
}

// pick returns a workspace by its share.
func (g *generator) pick(shares []share) string {
	at := g.rng.Float64()
	for _, s := range shares {
		if at -= s.part; at < 0 {
			return s.workspace
		}
	}
	return shares[len(shares)-1].workspace
}

// chats adds short chats of callers who wait.
func (g *generator) chats(peak float64, r rate, shares []share) {
	g.arrivals(peak, r, func(at time.Duration) {
		g.add(Request{
			At: at, Workspace: g.pick(shares), Priority: classInteractive,
			Context:   g.between(chatPromptLow, chatPromptHigh),
			Generated: g.between(chatAnswerLow, chatAnswerHigh),
		})
	})
}

// documents adds long prompts of callers who can wait, each about one of some
// documents; questions about the same one share its text.
func (g *generator) documents(peak float64, r rate, shares []share, kind string, low, high, answer int) {
	const documents = 24
	sizes := make([]int, documents)
	for i := range sizes {
		sizes[i] = g.between(low, high)
	}
	g.arrivals(peak, r, func(at time.Duration) {
		i := g.rng.IntN(documents)
		g.add(Request{
			At: at, Workspace: g.pick(shares), Priority: classBatch,
			Context:   sizes[i] + g.between(50, 400),
			Generated: g.between(answer/2, answer),
			Prefix:    fmt.Sprintf("%s-%d-%d:%d", kind, g.trace.Seed, i, sizes[i]),
		})
	})
}

// calls adds calls of a plain service to paths with a random number at the end.
func (g *generator) calls(peak float64, r rate, shares []share, route string, numbered bool) {
	g.arrivals(peak, r, func(at time.Duration) {
		path := route
		if numbered {
			path = fmt.Sprintf("%s/%d", route, g.rng.IntN(1000))
		}
		g.add(Request{At: at, Workspace: g.pick(shares), Route: path})
	})
}
