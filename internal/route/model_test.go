package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acacialink/acacialink/internal/queue"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// The size and the load of the model: two sites of today.
const (
	modelEngines = 18
	modelHosts   = 4
	modelLength  = 60 * time.Second
	// modelReport is how often an engine measures its load, modelLag how long
	// the report takes to a host.
	modelReport = 500 * time.Millisecond
	modelLag    = 300 * time.Millisecond
	// modelLongFrom and modelLongTo are the shares of long prompts before and
	// after the shift of the mix.
	modelLongFrom = 0.20
	modelLongTo   = 0.30
)

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int      { return len(q) }
func (q modelEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q modelEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q *modelEvents) Push(x any) { *q = append(*q, x.(modelEvent)) }
func (q *modelEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// model runs one policy, one instance a host, on a seeded load.
type model struct {
	now     time.Duration
	queue   modelEvents
	seq     int
	rnd     *rand.Rand
	load    *rand.Rand
	engines []*modelEngine
	routers []*Router
	// admission is nil for policies without it.
	admission []*queue.Core
	admitted  map[*queue.Entry]*job
	jobs      []*job
	rate      float64
	plain     bool
}

func newModel(seed uint64, rate float64, admit bool, policy func(host int) Policy) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 5)), load: rand.New(rand.NewPCG(seed, 6)),
		rate: rate, admitted: make(map[*queue.Entry]*job),
	}
	for i := range modelEngines {
		m.engines = append(m.engines, &modelEngine{name: fmt.Sprint("e", i)})
	}
	for h := range modelHosts {
		m.routers = append(m.routers, NewRouter(policy(h)))
		if admit {
			m.admission = append(m.admission, modelAdmission())
		}
	}
	for i, e := range m.engines {
		m.observe(e)
		m.after(time.Duration(i)*modelReport/modelEngines, func() { m.measure(e) })
	}
	m.after(0, m.arrive)
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{m.now + d, m.seq, do})
}

func (m *model) clock() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) run() {
	for len(m.queue) > 0 && m.now < modelLength {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// measure takes an engine's load now, tells it to the hosts after the lag, and
// loses some of the cache events.
func (m *model) measure(e *modelEngine) {
	st := m.state(e)
	m.after(modelLag, func() {
		st.AgeUs = modelLag.Microseconds()
		for _, r := range m.routers {
			r.Observe(m.clock(), st)
		}
		for h := range m.admission {
			m.share(h)
		}
	})
	m.after(modelReport, func() { m.measure(e) })
}

func (m *model) observe(e *modelEngine) {
	for _, r := range m.routers {
		r.Observe(m.clock(), m.state(e))
	}
}

func (m *model) state(e *modelEngine) *wire.AgentState {
	r := e.report()
	st := &wire.AgentState{
		Endpoint: e.name, Domain: "north", Incarnation: "1", Ready: true, Role: "mixed", Models: []string{"m"},
		Running: int32(r.Running), Waiting: int32(r.Waiting), WaitingPromptTokens: r.WaitingPromptTokens,
		FreePieces: int32(r.FreePieces), TotalPieces: int32(r.TotalPieces),
	}
	for _, c := range e.events {
		if m.rnd.Float64() < 0.9 {
			st.CacheEvents = append(st.CacheEvents, &wire.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Evicted: c.Evicted})
		}
	}
	e.events = nil
	return st
}

// arrive sends one request and plans the next one.
func (m *model) arrive() {
	j := m.draw()
	m.jobs = append(m.jobs, j)
	m.after(time.Duration(m.load.ExpFloat64()/m.rate*float64(time.Second)), m.arrive)
	if m.admission == nil {
		m.dispatch(j)
		return
	}
	core := m.admission[j.host]
	e, out, err := core.Push(m.clock(), j.item(m.routers[j.host].Predict(m.clock(), &j.Request)))
	if out != nil {
		delete(m.admitted, out)
	}
	if err != nil {
		return
	}
	m.admitted[e] = j
	j.entry = e
	m.after(e.Deadline.Sub(m.clock()), func() { core.Refuse(e, core.Late(e)) })
	m.admit(core)
}

// admit dispatches what a host's queue lets through.
func (m *model) admit(core *queue.Core) {
	for e := core.Next(); e != nil; e = core.Next() {
		m.dispatch(m.admitted[e])
		delete(m.admitted, e)
	}
}

func (m *model) dispatch(j *job) {
	f, err := m.routers[j.host].Pick(m.clock(), &j.Request)
	if err != nil {
		return
	}
	j.flight = f
	for _, e := range m.engines {
		if e.name == f.Endpoint {
			e.add(j)
			m.work(e)
		}
	}
}

// prefilled and ended tell the job's host.
func (m *model) prefilled(j *job) {
	j.flight.Prefilled()
	if j.entry != nil {
		m.admission[j.host].Prefilled(j.entry)
		m.admit(m.admission[j.host])
	}
}

func (m *model) ended(j *job) {
	j.flight.Done(j.cached)
	if j.entry != nil {
		m.admission[j.host].Release(j.entry, int64(j.tokens))
		m.admit(m.admission[j.host])
	}
}

// work runs the engine's steps while it has any.
func (m *model) work(e *modelEngine) {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	d, done := e.step()
	m.after(d, func() {
		e.busy = false
		for _, j := range done {
			m.prefilled(j)
		}
		for _, j := range e.emit(m.now, done) {
			m.ended(j)
		}
		m.work(e)
	})
}

// result is the share of requests served in time, over all and for the worst
// and the best served workspace.
type result struct {
	goodput, worst, best float64
}

func (m *model) result() result {
	good, all := make(map[string]int), make(map[string]int)
	var total, served int
	for _, j := range m.jobs {
		if j.arrived > modelLength-10*time.Second {
			continue
		}
		all[j.workspace]++
		total++
		if j.good() {
			good[j.workspace]++
			served++
		}
	}
	r := result{goodput: float64(served) / float64(total), worst: 1}
	for w, n := range all {
		share := float64(good[w]) / float64(n)
		r.worst, r.best = min(r.worst, share), max(r.best, share)
	}
	return r
}
