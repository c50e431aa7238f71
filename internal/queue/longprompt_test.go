package queue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prefillEngine works on all admitted prompts at once, in equal shares.
type prefillEngine struct {
	core    *Core
	rate    float64
	running []*prompt
	arrived map[*Entry]time.Time
	waits   []time.Duration
}

// prompt is an admitted entry with the tokens that are left to prefill.
type prompt struct {
	*Entry
	left float64
}

func (p *prefillEngine) step(now time.Time, d time.Duration) {
	for e := p.core.Next(); e != nil; e = p.core.Next() {
		p.running = append(p.running, &prompt{e, float64(e.PromptTokens)})
	}
	share := p.rate * d.Seconds() / float64(max(1, len(p.running)))
	for _, e := range p.running {
		e.left -= share
		if e.left > 0 {
			continue
		}
		p.core.Release(e.Entry, e.OutputTokens)
		if e.PromptTokens < 1000 {
			p.waits = append(p.waits, now.Sub(p.arrived[e.Entry]))
		}
	}
	p.running = slices.DeleteFunc(p.running, func(e *prompt) bool { return e.left <= 0 })
}

// chatWaits is the 95th percentile of the time to the first token of chats
// while a workspace sends catalogues at twice the engine's speed.
func chatWaits(t *testing.T, change func(*Settings)) time.Duration {
	const step = 10 * time.Millisecond
	core := newTestCore(change)
	engine := &prefillEngine{
		core: core, rate: 10000, arrived: make(map[*Entry]time.Time),
	}
	rnd := rand.New(rand.NewPCG(7, 7))
	push := func(now time.Time, i Item) {
		if e, _, err := core.Push(now, i); err == nil {
			engine.arrived[e] = now
		}
	}
	for at := time.Duration(0); at < time.Minute; at += step {
		now := epoch.Add(at)
		if rnd.Float64() < 0.01 {
			push(now, Item{Workspace: "catalogue", PromptTokens: 20000, OutputTokens: 300})
		}
		if rnd.Float64() < 0.06 {
			push(now, Item{Workspace: "chat", PromptTokens: 400, OutputTokens: 100})
		}
		engine.step(now, step)
	}
	is.New(t).True(len(engine.waits) > 200)
	slices.Sort(engine.waits)
	return engine.waits[len(engine.waits)*95/100]
}

func TestLongPromptsDoNotDisplaceChats(t *testing.T) {
	is := is.New(t)
	ours := chatWaits(t, nil)
	oneLane := chatWaits(t, func(s *Settings) { s.LongPrompt, s.LongLimit = 1<<30, 1 })
	t.Logf("chats' time to first token, p95: %v with lanes, %v in one lane", ours, oneLane)
	is.True(ours < 460*time.Millisecond)
	is.True(oneLane > 2*ours)
}
