package route

import (
	"fmt"

	"github.com/acacialink/acacialink/internal/queue"
)

// draw makes a chat or, more often after half of the time, a long prompt.
func (m *model) draw() *job {
	long := modelLongFrom
	if m.now > modelLength/2 {
		long = modelLongTo
	}
	j := &job{host: m.load.IntN(modelHosts), arrived: m.now}
	j.Model, j.Domain = "m", "north"
	if m.load.Float64() < long {
		w := 3 + m.load.IntN(2)
		j.workspace = fmt.Sprint("catalogue", w)
		j.PromptTokens, j.output = 4000+m.load.IntN(4000), 60+m.load.IntN(60)
		j.Prefix = modelPrefix(w, m.load.IntN(12), j.PromptTokens*3/4)
	} else {
		w := m.load.IntN(3)
		j.workspace = fmt.Sprint("chat", w)
		j.PromptTokens, j.output = 300+m.load.IntN(2200), 60+m.load.IntN(80)
		j.Prefix = modelPrefix(w, 0, min(1000, j.PromptTokens))
		j.Priority = 2
	}
	if m.plain {
		j.Priority = 1
	}
	j.MaxTokens = j.output + m.load.IntN(100)
	return j
}

// modelPrefix is a prompt that begins with the given tokens of a document.
func modelPrefix(workspace, document, tokens int) []uint64 {
	var prefix []uint64
	for i := range tokens / 1000 {
		prefix = append(prefix, uint64(workspace)<<32|uint64(document)<<16|uint64(i))
	}
	return prefix
}

// item is the job as the admission queue sees it.
func (j *job) item(cached int) queue.Item {
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

// modelAdmission is one host's queue with its share of the engines.
func modelAdmission() *queue.Core {
	s := queue.DefaultSettings()
	s.Classes[queue.Interactive].Deadline = modelFirstToken / 2
	s.Classes[queue.Standard].Deadline = modelFirstToken / 2
	c := queue.NewCore(s)
	c.SetCapacity(queue.Share(modelCapacity, modelCapacity, queue.Capacity{}, modelHosts))
	return c
}

// modelCapacity is what all engines may have in progress.
var modelCapacity = queue.Capacity{
	PrefillTokens: modelEngines * 8000,
	Pieces:        modelEngines * modelPieces,
	Streams:       modelEngines * modelStreams,
	PrefillRate:   modelEngines * 12000,
	DecodeRate:    modelEngines * modelStreams * 21,
}

// share gives a host's queue its part by the reports that the host has.
func (m *model) share(h int) {
	var used queue.Capacity
	for _, c := range m.routers[h].Candidates() {
		used.Streams += int64(c.Report.Running + c.Report.Waiting)
		used.PrefillTokens += c.Report.WaitingPromptTokens
		used.Pieces += int64(c.Report.TotalPieces - c.Report.FreePieces)
	}
	s := m.admission[h].Stats()
	own := queue.Capacity{PrefillTokens: s.PrefillTokens, Pieces: s.Pieces, Streams: s.Streams}
	m.admission[h].SetCapacity(queue.Share(modelCapacity, used, own, modelHosts))
	m.admit(m.admission[h])
}

// modelStreams is the batch at which a step with a chunk takes modelBetween.
const modelStreams = 22
