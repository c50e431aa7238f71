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
	// Description is a one-line description.
	Description string

	model string
	build func(*generator)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"festival-day", "festival", "chats, a shift to long dossiers, and back", "lantern", festivalDay},
		{"tenant-surge", "festival", "the schools send five times their rate for a third of the time", "lantern", tenantSurge},
		{"domain-loss", "festival", "chats while a failure domain is lost and returns", "lantern", domainLoss},
		{"catalogue-burst", "consortium", "bursts of long catalogues over short chats", "engraver", catalogueBurst},
		{"deposit-loss", "consortium", "deposits and lookups while an entry host is lost and returns", "engraver", depositLoss},
	}
}

// Generate returns the trace of a scenario. It is deterministic: the same name,
// seed, length and load give the same trace. load scales all arrival rates; 1 is
// sized for nine engines at the default speed of the stand-in.
func Generate(name string, seed uint64, length time.Duration, load float64) (*Trace, error) {
	scenarios := Scenarios()
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return nil, errors.Errorf("no scenario %q", name)
	}
	if length <= 0 || load <= 0 {
		return nil, errors.New("the length and load of a scenario must be positive")
	}
	g := &generator{
		trace:      &Trace{Name: name, Seed: seed, Model: scenarios[i].model},
		rng:        rand.New(rand.NewPCG(seed, uint64(i))),
		length:     length,
		loadFactor: load,
	}
	scenarios[i].build(g)
	g.trace.sort()
	return g.trace, nil
}

// generator builds one trace.
type generator struct {
	trace      *Trace
	rng        *rand.Rand
	length     time.Duration
	loadFactor float64
}

// rateFunc returns the arrival rate in requests per second at a position in the
// trace, given as a fraction of its length from 0 to 1.
type rateFunc func(position float64) float64

// constantRate returns a rateFunc with a fixed rate in requests per second.
func constantRate(perSecond float64) rateFunc { return func(float64) float64 { return perSecond } }

// poissonArrivals calls add at the arrival times of an inhomogeneous Poisson
// process, by thinning. The rate r must never exceed peak.
func (g *generator) poissonArrivals(peak float64, r rateFunc, add func(offset time.Duration)) {
	peak *= g.loadFactor
	offset := time.Duration(0)
	for {
		offset += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if offset >= g.length {
			return
		}
		if g.rng.Float64()*peak < r(offset.Seconds()/g.length.Seconds())*g.loadFactor {
			add(offset)
		}
	}
}

// uniformInt returns a uniformly distributed number in [low, high].
func (g *generator) uniformInt(low, high int) int { return low + g.rng.IntN(high-low+1) }

func (g *generator) addRequest(r Request) { g.trace.Requests = append(g.trace.Requests, r) }

// addEvent appends an event at a position in the trace, given as a fraction of
// its length.
func (g *generator) addEvent(position float64, action, target string) {
	offset := time.Duration(position * float64(g.length))
	g.trace.Events = append(g.trace.Events, Event{Offset: offset, Action: action, Target: target})
}

// Token counts of a chat request.
const (
	chatPromptMinTokens, chatPromptMaxTokens = 150, 900
	chatOutputMinTokens, chatOutputMaxTokens = 40, 120
)

// workspaceShare is a workspace's fraction of the traffic, from 0 to 1.
type workspaceShare struct {
	workspace string
	fraction  float64
}

// pickWorkspace returns a random workspace, weighted by the fractions.
func (g *generator) pickWorkspace(shares []workspaceShare) string {
	remaining := g.rng.Float64()
	for _, s := range shares {
		if remaining -= s.fraction; remaining < 0 {
			return s.workspace
		}
	}
	return shares[len(shares)-1].workspace
}

// addChats adds short chat requests of interactive priority.
func (g *generator) addChats(peak float64, r rateFunc, shares []workspaceShare) {
	g.poissonArrivals(peak, r, func(offset time.Duration) {
		g.addRequest(Request{
			Offset: offset, Workspace: g.pickWorkspace(shares), Priority: classInteractive,
			PromptTokens: g.uniformInt(chatPromptMinTokens, chatPromptMaxTokens),
			OutputTokens: g.uniformInt(chatOutputMinTokens, chatOutputMaxTokens),
		})
	})
}

// addDocumentPrompts adds long prompts of batch priority, each about one of a
// fixed set of documents. Prompts about the same document share it as prefix
// segment. low and high bound the size of a document in tokens; maxOutput is the
// maximum number of output tokens.
func (g *generator) addDocumentPrompts(peak float64, r rateFunc, shares []workspaceShare, kind string, low, high, maxOutput int) {
	const documentCount = 24
	sizes := make([]int, documentCount)
	for i := range sizes {
		sizes[i] = g.uniformInt(low, high)
	}
	g.poissonArrivals(peak, r, func(offset time.Duration) {
		i := g.rng.IntN(documentCount)
		g.addRequest(Request{
			Offset: offset, Workspace: g.pickWorkspace(shares), Priority: classBatch,
			PromptTokens: sizes[i] + g.uniformInt(50, 400),
			OutputTokens: g.uniformInt(maxOutput/2, maxOutput),
			Prefix:       fmt.Sprintf("%s-%d-%d:%d", kind, g.trace.Seed, i, sizes[i]),
		})
	})
}

// addServiceCalls adds calls of a plain service. If numbered is true, a random
// number is appended to the path.
func (g *generator) addServiceCalls(peak float64, r rateFunc, shares []workspaceShare, route string, numbered bool) {
	g.poissonArrivals(peak, r, func(offset time.Duration) {
		path := route
		if numbered {
			path = fmt.Sprintf("%s/%d", route, g.rng.IntN(1000))
		}
		g.addRequest(Request{Offset: offset, Workspace: g.pickWorkspace(shares), Route: path})
	})
}
