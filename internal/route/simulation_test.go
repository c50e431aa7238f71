package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Size and load of the simulation: the engines and entry hosts of two sites.
const (
	simEngines  = 18
	simHosts    = 4
	simDuration = 60 * time.Second
	// simReportInterval is how often an engine measures its load.
	simReportInterval = 500 * time.Millisecond
	// simReportDelay is the delay until the hosts receive a load report.
	simReportDelay = 300 * time.Millisecond
	// simLongShareBefore and simLongShareAfter are the shares of long prompts in
	// the first and the second half of the run.
	simLongShareBefore = 0.20
	simLongShareAfter  = 0.30
)

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simEvents []simEvent

func (q simEvents) Len() int      { return len(q) }
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation runs one policy instance per host on a seeded load.
type simulation struct {
	now      time.Duration
	events   simEvents
	sequence int
	rand     *rand.Rand
	loadRand *rand.Rand
	engines  []*simEngine
	routers  []*Router
	// queues holds one admission queue per host. It is nil for strategies
	// without admission control.
	queues        []*queue.Scheduler
	queued        map[*queue.Entry]*simJob
	jobs          []*simJob
	rate          float64
	equalPriority bool
}

func newSimulation(seed uint64, rate float64, admit bool, policy func(host int) Policy) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 5)), loadRand: rand.New(rand.NewPCG(seed, 6)),
		rate: rate, queued: make(map[*queue.Entry]*simJob),
	}
	for i := range simEngines {
		sim.engines = append(sim.engines, &simEngine{name: fmt.Sprint("e", i)})
	}
	for h := range simHosts {
		sim.routers = append(sim.routers, NewRouter(policy(h)))
		if admit {
			sim.queues = append(sim.queues, newSimQueue())
		}
	}
	for i, e := range sim.engines {
		sim.observe(e)
		sim.schedule(time.Duration(i)*simReportInterval/simEngines, func() { sim.publishReport(e) })
	}
	sim.schedule(0, sim.arrive)
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, simEvent{sim.now + d, sim.sequence, run})
}

func (sim *simulation) clock() time.Time { return time.Unix(1000, 0).Add(sim.now) }

func (sim *simulation) run() {
	for len(sim.events) > 0 && sim.now < simDuration {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.run()
	}
}

// publishReport measures an engine's load, and delivers the report to the hosts
// after simReportDelay, without some of the cache events.
func (sim *simulation) publishReport(e *simEngine) {
	st := sim.state(e)
	sim.schedule(simReportDelay, func() {
		st.AgeUs = simReportDelay.Microseconds()
		for _, r := range sim.routers {
			r.Observe(sim.clock(), st)
		}
		for h := range sim.queues {
			sim.updateCapacity(h)
		}
	})
	sim.schedule(simReportInterval, func() { sim.publishReport(e) })
}

func (sim *simulation) observe(e *simEngine) {
	for _, r := range sim.routers {
		r.Observe(sim.clock(), sim.state(e))
	}
}

func (sim *simulation) state(e *simEngine) *wire.AgentState {
	r := e.report()
	st := &wire.AgentState{
		Endpoint: e.name, Domain: "north", Incarnation: "1", Ready: true, Role: "mixed", Models: []string{"m"},
		Running: int32(r.Running), Waiting: int32(r.Waiting), WaitingPromptTokens: r.WaitingPromptTokens,
		FreePieces: int32(r.FreeKVBlocks), TotalPieces: int32(r.TotalKVBlocks),
	}
	for _, c := range e.events {
		if sim.rand.Float64() < 0.9 {
			st.CacheEvents = append(st.CacheEvents, &wire.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Evicted: c.Evicted})
		}
	}
	e.events = nil
	return st
}

// arrive submits one request and schedules the next arrival.
func (sim *simulation) arrive() {
	j := sim.newJob()
	sim.jobs = append(sim.jobs, j)
	sim.schedule(time.Duration(sim.loadRand.ExpFloat64()/sim.rate*float64(time.Second)), sim.arrive)
	if sim.queues == nil {
		sim.dispatch(j)
		return
	}
	scheduler := sim.queues[j.host]
	e, evicted, err := scheduler.Push(sim.clock(), j.queueItem(sim.routers[j.host].PredictCachedTokens(sim.clock(), &j.Request)))
	if evicted != nil {
		delete(sim.queued, evicted)
	}
	if err != nil {
		return
	}
	sim.queued[e] = j
	j.entry = e
	sim.schedule(e.Deadline.Sub(sim.clock()), func() { scheduler.Refuse(e, scheduler.DeadlineError(e)) })
	sim.dispatchAdmitted(scheduler)
}

// dispatchAdmitted dispatches the jobs that a host's queue admits.
func (sim *simulation) dispatchAdmitted(scheduler *queue.Scheduler) {
	for e := scheduler.AdmitNext(); e != nil; e = scheduler.AdmitNext() {
		sim.dispatch(sim.queued[e])
		delete(sim.queued, e)
	}
}

func (sim *simulation) dispatch(j *simJob) {
	f, err := sim.routers[j.host].Pick(sim.clock(), &j.Request)
	if err != nil {
		return
	}
	j.flight = f
	for _, e := range sim.engines {
		if e.name == f.Endpoint {
			e.enqueue(j)
			sim.runSteps(e)
		}
	}
}

// prefilled reports the completed prefill of a job to its host.
func (sim *simulation) prefilled(j *simJob) {
	j.flight.PrefillDone()
	if j.entry != nil {
		sim.queues[j.host].PrefillDone(j.entry)
		sim.dispatchAdmitted(sim.queues[j.host])
	}
}

// completed reports the completed job to its host.
func (sim *simulation) completed(j *simJob) {
	j.flight.Done(j.cachedTokens)
	if j.entry != nil {
		sim.queues[j.host].Release(j.entry, int64(j.generated))
		sim.dispatchAdmitted(sim.queues[j.host])
	}
}

// runSteps runs the engine's steps until it has no jobs.
func (sim *simulation) runSteps(e *simEngine) {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	d, prefilled := e.step()
	sim.schedule(d, func() {
		e.busy = false
		for _, j := range prefilled {
			sim.prefilled(j)
		}
		for _, j := range e.decode(sim.now, prefilled) {
			sim.completed(j)
		}
		sim.runSteps(e)
	})
}

// result is the share of requests that met their latency targets: over all
// workspaces, and for the workspaces with the smallest and the largest share.
type result struct {
	goodput, worst, best float64
}

func (sim *simulation) result() result {
	metTargets, all := make(map[string]int), make(map[string]int)
	var total, totalMet int
	for _, j := range sim.jobs {
		if j.arrivedAt > simDuration-10*time.Second {
			continue
		}
		all[j.workspace]++
		total++
		if j.metTargets() {
			metTargets[j.workspace]++
			totalMet++
		}
	}
	r := result{goodput: float64(totalMet) / float64(total), worst: 1}
	for w, n := range all {
		share := float64(metTargets[w]) / float64(n)
		r.worst, r.best = min(r.worst, share), max(r.best, share)
	}
	return r
}
