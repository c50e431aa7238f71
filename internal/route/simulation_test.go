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
	// simReportInterval is how often an engine measures its load, simReportDelay
	// the delay until the report is received by the hosts.
	simReportInterval = 500 * time.Millisecond
	simReportDelay    = 300 * time.Millisecond
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
	m := &simulation{
		rand: rand.New(rand.NewPCG(seed, 5)), loadRand: rand.New(rand.NewPCG(seed, 6)),
		rate: rate, queued: make(map[*queue.Entry]*simJob),
	}
	for i := range simEngines {
		m.engines = append(m.engines, &simEngine{name: fmt.Sprint("e", i)})
	}
	for h := range simHosts {
		m.routers = append(m.routers, NewRouter(policy(h)))
		if admit {
			m.queues = append(m.queues, newSimQueue())
		}
	}
	for i, e := range m.engines {
		m.observe(e)
		m.schedule(time.Duration(i)*simReportInterval/simEngines, func() { m.publishReport(e) })
	}
	m.schedule(0, m.arrive)
	return m
}

func (m *simulation) schedule(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, simEvent{m.now + d, m.sequence, run})
}

func (m *simulation) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *simulation) run() {
	for len(m.events) > 0 && m.now < simDuration {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.run()
	}
}

// publishReport measures an engine's load, delivers it to the hosts after
// simReportDelay and loses some of the cache events.
func (m *simulation) publishReport(e *simEngine) {
	st := m.state(e)
	m.schedule(simReportDelay, func() {
		st.AgeUs = simReportDelay.Microseconds()
		for _, r := range m.routers {
			r.Observe(m.clock(), st)
		}
		for h := range m.queues {
			m.updateCapacity(h)
		}
	})
	m.schedule(simReportInterval, func() { m.publishReport(e) })
}

func (m *simulation) observe(e *simEngine) {
	for _, r := range m.routers {
		r.Observe(m.clock(), m.state(e))
	}
}

func (m *simulation) state(e *simEngine) *wire.AgentState {
	r := e.report()
	st := &wire.AgentState{
		Endpoint: e.name, Domain: "north", Incarnation: "1", Ready: true, Role: "mixed", Models: []string{"m"},
		Running: int32(r.Running), Waiting: int32(r.Waiting), WaitingPromptTokens: r.WaitingPromptTokens,
		FreePieces: int32(r.FreeKVBlocks), TotalPieces: int32(r.TotalKVBlocks),
	}
	for _, c := range e.events {
		if m.rand.Float64() < 0.9 {
			st.CacheEvents = append(st.CacheEvents, &wire.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Evicted: c.Evicted})
		}
	}
	e.events = nil
	return st
}

// arrive submits one request and schedules the next arrival.
func (m *simulation) arrive() {
	j := m.newJob()
	m.jobs = append(m.jobs, j)
	m.schedule(time.Duration(m.loadRand.ExpFloat64()/m.rate*float64(time.Second)), m.arrive)
	if m.queues == nil {
		m.dispatch(j)
		return
	}
	scheduler := m.queues[j.host]
	e, evicted, err := scheduler.Push(m.clock(), j.queueItem(m.routers[j.host].PredictCachedTokens(m.clock(), &j.Request)))
	if evicted != nil {
		delete(m.queued, evicted)
	}
	if err != nil {
		return
	}
	m.queued[e] = j
	j.entry = e
	m.schedule(e.Deadline.Sub(m.clock()), func() { scheduler.Refuse(e, scheduler.DeadlineError(e)) })
	m.dispatchAdmitted(scheduler)
}

// dispatchAdmitted dispatches the jobs that a host's queue admits.
func (m *simulation) dispatchAdmitted(scheduler *queue.Scheduler) {
	for e := scheduler.AdmitNext(); e != nil; e = scheduler.AdmitNext() {
		m.dispatch(m.queued[e])
		delete(m.queued, e)
	}
}

func (m *simulation) dispatch(j *simJob) {
	f, err := m.routers[j.host].Pick(m.clock(), &j.Request)
	if err != nil {
		return
	}
	j.flight = f
	for _, e := range m.engines {
		if e.name == f.Endpoint {
			e.enqueue(j)
			m.runSteps(e)
		}
	}
}

// prefilled reports the completed prefill of a job to its host.
func (m *simulation) prefilled(j *simJob) {
	j.flight.PrefillDone()
	if j.entry != nil {
		m.queues[j.host].PrefillDone(j.entry)
		m.dispatchAdmitted(m.queues[j.host])
	}
}

// completed reports the completed job to its host.
func (m *simulation) completed(j *simJob) {
	j.flight.Done(j.cachedTokens)
	if j.entry != nil {
		m.queues[j.host].Release(j.entry, int64(j.generated))
		m.dispatchAdmitted(m.queues[j.host])
	}
}

// runSteps runs the engine's steps until it has no jobs.
func (m *simulation) runSteps(e *simEngine) {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	d, prefilled := e.step()
	m.schedule(d, func() {
		e.busy = false
		for _, j := range prefilled {
			m.prefilled(j)
		}
		for _, j := range e.decode(m.now, prefilled) {
			m.completed(j)
		}
		m.runSteps(e)
	})
}

// result is the share of requests that met their latency targets: over all
// workspaces, and for the workspaces with the smallest and the largest share.
type result struct {
	goodput, worst, best float64
}

func (m *simulation) result() result {
	metTargets, all := make(map[string]int), make(map[string]int)
	var total, totalMet int
	for _, j := range m.jobs {
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
