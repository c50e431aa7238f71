package placement

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Flight is one request's work at one engine, counted until Done.
type Flight struct {
	tracker *Tracker
	engine  *engine
	stage   endpoint.Stage
	begun   time.Time
	// expected is the predicted time of the reading; zero when the engine
	// reads nothing.
	expected time.Duration
	read     int
	memory   int
	prefix   []Part
	isRun    bool
	idle     bool
	readDone bool
}

// Begin counts a reading of the plan at its reader.
func (t *Tracker) Begin(now time.Time, e *endpoint.Endpoint, p *Plan, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.engine(e)
	busy := t.load(now, e.ID)
	f := &Flight{
		tracker: t, engine: g, stage: e.Stage, begun: now,
		expected: p.FirstEvent, read: p.Read, memory: job.Prompt + job.Output, prefix: job.Parts,
		isRun: p.Prefill == nil, idle: busy.Tokens == 0 && p.Fetch == "",
	}
	g.jobs[f] = struct{}{}
	tokens := p.Read
	if f.isRun {
		tokens += job.Output
	}
	t.fill(now, g, Placed{Engine: e.ID, Parts: job.sharedHashes(), ReadIn: p.FirstEvent, Tokens: int64(tokens)})
	return f
}

// fill notes what a dispatch adds to an engine's cache, here and for peers. The
// caller holds mu.
func (t *Tracker) fill(now time.Time, g *engine, p Placed) {
	g.added += p.Tokens
	for _, h := range p.Parts {
		g.hold(now, now.Add(p.ReadIn), h)
	}
	t.place(p)
}

// maxPlaced bounds the dispatches kept for peers: those of a few seconds.
const maxPlaced = 256

// place remembers a dispatch. The caller holds mu.
func (t *Tracker) place(p Placed) {
	if len(t.placed) == maxPlaced {
		gone := maxPlaced / 2
		t.placed = append(t.placed[:0], t.placed[gone:]...)
		t.first += int64(gone)
	}
	t.placed = append(t.placed, p)
}

func (j *Job) sharedHashes() []uint64 {
	if len(j.Parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(j.Parts)-1)
	for _, p := range j.Parts[:len(j.Parts)-1] {
		out = append(out, p.Hash)
	}
	return out
}

// BeginRun counts a generation whose prompt was read elsewhere.
func (t *Tracker) BeginRun(now time.Time, e *endpoint.Endpoint, job *Job) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.engine(e)
	f := &Flight{tracker: t, engine: g, stage: e.Stage, begun: now, memory: job.Prompt + job.Output, isRun: true, readDone: true}
	g.jobs[f] = struct{}{}
	held, _ := g.cached(now, job.Parts, 0)
	t.fill(now, g, Placed{Engine: e.ID, Parts: job.sharedHashes(), Tokens: int64(max(0, job.Prompt-held) + job.Output)})
	return f
}

// load is the work left. The caller holds the tracker's mu.
func (f *Flight) load(now time.Time) Load {
	l := Load{Memory: f.memory}
	if f.isRun {
		l.Streams = 1
	}
	if f.readDone {
		return l
	}
	left := 1.0
	if f.expected > 0 {
		left -= float64(now.Sub(f.begun)) / float64(f.expected)
	}
	l.Tokens = int(float64(f.read) * max(left, overdueShare))
	return l
}

// overdueShare is the part of a reading that is assumed to be left once its
// predicted time is over.
const overdueShare = 0.1

// Read says that the prompt was read: the first event or the handle is here.
func (f *Flight) Read(now time.Time) {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.readDone {
		return
	}
	f.readDone = true
	f.engine.failures, f.engine.rejects, f.engine.avoid = 0, 0, time.Time{}
	took := now.Sub(f.begun)
	if f.idle && f.read >= minSample {
		prompt := 0
		for _, p := range f.prefix {
			prompt += p.Tokens
		}
		quadratic := t.costs.Quadratic * float64(f.read) * float64(max(0, prompt-f.read/2))
		ms := float64(took-t.costs.Fixed)/float64(time.Millisecond) - quadratic
		if ms > 1 {
			t.rates[f.stage].observe(float64(f.read) / ms)
		}
	}
	if f.expected > 0 {
		ratio := max(1, min(maxSlow, float64(took)/float64(f.expected)))
		f.engine.slow += slowWeight * (ratio - f.engine.slow)
	}
}

const (
	// slowWeight is the weight of the latest observation of an engine's
	// slowness, maxSlow bounds one observation.
	slowWeight = 0.08
	maxSlow    = 6
)

// Done ends the flight.
func (f *Flight) Done() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.jobs, f)
}

// Failed ends the flight after the engine failed: it is avoided for a while,
// longer with each failure in a row.
func (f *Flight) Failed(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.jobs, f)
	f.engine.failures++
	pause := min(avoidFirst<<min(f.engine.failures-1, avoidDoublings), avoidLongest)
	f.engine.avoid = now.Add(pause)
}

const (
	// avoidFirst is how long an engine is avoided after one failure, doubled
	// with each further one up to avoidLongest: a crash lasts seconds.
	avoidFirst     = 250 * time.Millisecond
	avoidDoublings = 4
	avoidLongest   = 3 * time.Second
)

// Rejected ends the flight after the engine refused to run the request: it is
// full or changes its stage, and refuses the next one too.
func (f *Flight) Rejected(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.engine.jobs, f)
	f.engine.rejects++
	f.engine.avoid = now.Add(min(rejectFirst<<min(f.engine.rejects-1, rejectDoublings), rejectLongest))
}

// Lapsed notes that a cache that was prefilled at an engine could not be taken:
// for a while none is made there.
func (t *Tracker) Lapsed(now time.Time, e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.engine(e)
	g.lapses++
	g.noHandles = now.Add(min(lapseFirst<<min(g.lapses-1, lapseDoublings), lapseLongest))
}

// Taken notes that a prefilled cache was taken.
func (t *Tracker) Taken(e *endpoint.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.engine(e)
	g.lapses, g.noHandles = 0, time.Time{}
}

const (
	// rejectFirst is how long an engine is avoided after one rejection, doubled
	// up to rejectLongest: a full engine has room again within a few steps, one
	// that changes its stage within seconds.
	rejectFirst     = 60 * time.Millisecond
	rejectDoublings = 4
	rejectLongest   = time.Second
	// lapseFirst is how long no cache is prefilled where one lapsed, doubled up
	// to lapseLongest.
	lapseFirst     = 300 * time.Millisecond
	lapseDoublings = 3
	lapseLongest   = 2 * time.Second
)

// Switching notes that engines change their stage and run nothing until then.
func (t *Tracker) Switching(now time.Time, engines map[string]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, left := range engines {
		t.switches[id] = now.Add(left)
	}
	for id, until := range t.switches {
		if now.After(until) {
			delete(t.switches, id)
		}
	}
}

// switching says whether the engine changes its stage. The caller holds mu.
func (t *Tracker) switching(now time.Time, id string) bool {
	return now.Before(t.switches[id])
}

// Switched notes that an engine has changed its stage.
func (t *Tracker) Switched(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.switches, id)
}
