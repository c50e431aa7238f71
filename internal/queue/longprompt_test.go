package queue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prefillEngine prefills all admitted prompts concurrently at equal rates.
type prefillEngine struct {
	scheduler       *Scheduler
	rate            float64
	running         []*activePrompt
	arrived         map[*Entry]time.Time
	firstTokenTimes []time.Duration
}

// activePrompt is an admitted entry and the number of tokens left to prefill.
type activePrompt struct {
	*Entry
	remaining float64
}

func (p *prefillEngine) step(now time.Time, d time.Duration) {
	for e := p.scheduler.AdmitNext(); e != nil; e = p.scheduler.AdmitNext() {
		p.running = append(p.running, &activePrompt{e, float64(e.PromptTokens)})
	}
	share := p.rate * d.Seconds() / float64(max(1, len(p.running)))
	for _, e := range p.running {
		e.remaining -= share
		if e.remaining > 0 {
			continue
		}
		p.scheduler.Release(e.Entry, e.OutputTokens)
		if e.PromptTokens < 1000 {
			p.firstTokenTimes = append(p.firstTokenTimes, now.Sub(p.arrived[e.Entry]))
		}
	}
	p.running = slices.DeleteFunc(p.running, func(e *activePrompt) bool { return e.remaining <= 0 })
}

// chatFirstTokenP95 returns the 95th percentile of the time to first token of
// chats while another workspace sends long prompts at twice the engine's
// throughput.
func chatFirstTokenP95(t *testing.T, change func(*Settings)) time.Duration {
	const step = 10 * time.Millisecond
	scheduler := newTestScheduler(change)
	engine := &prefillEngine{
		scheduler: scheduler, rate: 10000, arrived: make(map[*Entry]time.Time),
	}
	rnd := rand.New(rand.NewPCG(7, 7))
	push := func(now time.Time, i Item) {
		if e, _, err := scheduler.Push(now, i); err == nil {
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
	is.New(t).True(len(engine.firstTokenTimes) > 200)
	slices.Sort(engine.firstTokenTimes)
	return engine.firstTokenTimes[len(engine.firstTokenTimes)*95/100]
}

func TestLongPromptsDoNotDelayChats(t *testing.T) {
	is := is.New(t)
	separateLanes := chatFirstTokenP95(t, nil)
	singleLane := chatFirstTokenP95(t, func(s *Settings) { s.LongPromptTokens, s.LongPrefillFraction = 1<<30, 1 })
	t.Logf("chat time to first token, p95: %v with separate lanes, %v with a single lane", separateLanes, singleLane)
	is.True(separateLanes < 460*time.Millisecond)
	is.True(singleLane > 2*separateLanes)
}
