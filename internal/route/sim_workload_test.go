package route

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/queue"
)

// newJob returns a chat request or one with a long prompt. Long prompts are more
// frequent in the second half of the run.
func (sim *simulation) newJob() *simJob {
	longShare := simLongShareBefore
	if sim.now > simDuration/2 {
		longShare = simLongShareAfter
	}
	j := &simJob{host: sim.loadRand.IntN(simHosts), arrivedAt: sim.now}
	j.Model, j.Domain = "m", "north"
	if sim.loadRand.Float64() < longShare {
		w := 3 + sim.loadRand.IntN(2)
		j.workspace = fmt.Sprint("catalogue", w)
		j.PromptTokens, j.outputTokens = 4000+sim.loadRand.IntN(4000), 60+sim.loadRand.IntN(60)
		j.Prefix = documentPrefix(w, sim.loadRand.IntN(12), j.PromptTokens*3/4)
	} else {
		w := sim.loadRand.IntN(3)
		j.workspace = fmt.Sprint("chat", w)
		j.PromptTokens, j.outputTokens = 300+sim.loadRand.IntN(2200), 60+sim.loadRand.IntN(80)
		j.Prefix = documentPrefix(w, 0, min(1000, j.PromptTokens))
		j.Priority = 2
	}
	if sim.equalPriority {
		j.Priority = 1
	}
	j.MaxTokens = j.outputTokens + sim.loadRand.IntN(100)
	return j
}

// documentPrefix returns the prefix hashes of a prompt that begins with the given
// number of tokens of a document.
func documentPrefix(workspace, document, tokens int) []uint64 {
	var prefix []uint64
	for i := range tokens / 1000 {
		prefix = append(prefix, uint64(workspace)<<32|uint64(document)<<16|uint64(i))
	}
	return prefix
}

// queueItem returns the job as an item of the admission queue.
func (j *simJob) queueItem(cached int) queue.Item {
	class := queue.Interactive
	if j.Priority == 0 {
		class = queue.Standard
	}
	return queue.Item{
		Workspace: j.workspace, Class: class,
		PromptTokens: int64(j.PromptTokens), OutputTokens: int64(j.MaxTokens),
		CachedTokens: int64(cached),
	}
}

// newSimQueue returns one host's admission queue with the host's share of the
// capacity.
func newSimQueue() *queue.Scheduler {
	s := queue.DefaultSettings()
	s.Classes[queue.Interactive].Deadline = simFirstTokenTarget / 2
	s.Classes[queue.Standard].Deadline = simFirstTokenTarget / 2
	scheduler := queue.NewScheduler(s)
	scheduler.SetCapacity(queue.HostCapacity(simCapacity, simCapacity, queue.Capacity{}, simHosts))
	return scheduler
}

// simCapacity is the total capacity of the engines.
var simCapacity = queue.Capacity{
	PrefillTokens: simEngines * 8000,
	KVBlocks:      simEngines * simKVBlocks,
	Streams:       simEngines * simMaxStreams,
	PrefillRate:   simEngines * 12000,
	DecodeRate:    simEngines * simMaxStreams * 21,
}

// updateCapacity sets a host's share of the capacity from the load reports that
// the host has received.
func (sim *simulation) updateCapacity(h int) {
	var used queue.Capacity
	for _, c := range sim.routers[h].Candidates() {
		used.Streams += int64(c.Report.Running + c.Report.Waiting)
		used.PrefillTokens += c.Report.WaitingPromptTokens
		used.KVBlocks += int64(c.Report.TotalKVBlocks - c.Report.FreeKVBlocks)
	}
	s := sim.queues[h].Stats()
	own := queue.Capacity{PrefillTokens: s.PrefillTokens, KVBlocks: s.KVBlocks, Streams: s.Streams}
	sim.queues[h].SetCapacity(queue.HostCapacity(simCapacity, used, own, simHosts))
	sim.dispatchAdmitted(sim.queues[h])
}

// simMaxStreams is the batch size at which a step with a prefill chunk takes
// simTokenGapTarget.
const simMaxStreams = 22
