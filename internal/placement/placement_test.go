package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
)

var start = time.Unix(1_700_000_000, 0)

// moves is KV cache that moves as between current engines.
var moves = Memory{TokenBytes: 163840, LinkMbps: 1.4e6, Capacity: 500_000}

func engineOf(id, domain string, stage endpoint.Stage) *endpoint.Endpoint {
	return &endpoint.Endpoint{ID: id, Address: id + ":1", Service: "s", Domain: domain, Slots: 64, Stage: stage}
}

// fleet is p prefill and d decode engines in two domains.
func fleet(p, d int) []*endpoint.Endpoint {
	var all []*endpoint.Endpoint
	for i := range p {
		all = append(all, engineOf(fmt.Sprintf("p%d", i), string(rune('a'+i%2)), endpoint.StagePrefill))
	}
	for i := range d {
		all = append(all, engineOf(fmt.Sprintf("d%d", i), string(rune('a'+i%2)), endpoint.StageDecode))
	}
	return all
}

func newJob(shared, own int) *Job {
	return &Job{Prompt: shared + own, Output: 400, Parts: []Part{{Hash: 1, Tokens: shared}, {Hash: 2, Tokens: own}}, Domain: "a"}
}

func TestALongPromptIsReadApart(t *testing.T) {
	is := is.New(t)
	p, ok := NewTracker(DefaultCosts()).Plan(start, fleet(2, 2), newJob(5000, 7000), moves)
	is.True(ok)
	is.True(p.Prefill != nil)
	is.Equal(p.Run.Stage, endpoint.StageDecode)
	is.Equal(p.Read, 12000)
}

func TestAPromptIsReadWholeWhereNothingElseCan(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	p, ok := tr.Plan(start, fleet(0, 2), newJob(5000, 7000), moves)
	is.True(ok)
	is.True(p.Prefill == nil)
	_, ok = tr.Plan(start, fleet(2, 0), newJob(5000, 7000), moves)
	is.True(!ok) // nobody generates
	job := newJob(5000, 7000)
	job.Whole = true
	p, ok = tr.Plan(start, fleet(2, 2), job, moves)
	is.True(ok)
	is.True(p.Prefill == nil)
}

// Work of this host and of its peers counts alike.
func TestWorkGoesWhereLeastIsWaiting(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(3, 1)
	job := newJob(0, 8000)
	first, _ := tr.Plan(start, engines, job, moves)
	f := tr.Begin(start, first.Prefill, &first, job)
	var other string
	for _, e := range engines[:3] {
		if e.ID != first.Prefill.ID {
			other = e.ID
			break
		}
	}
	tr.Peer(start, "peer", map[string]Load{other: {Tokens: 9000}})
	second, _ := tr.Plan(start, engines, newJob(0, 8000), moves)
	is.True(second.Prefill.ID != first.Prefill.ID)
	is.True(second.Prefill.ID != other)
	f.Done()
	tr.DropPeer("peer")
	third, _ := tr.Plan(start, engines, newJob(0, 100), moves)
	is.True(third.FirstEvent < 50*time.Millisecond)
}

// A shared part that some engine holds is fetched, not read again.
func TestASharedPartIsFetched(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(2, 1)
	job := newJob(5000, 1000)
	first, _ := tr.Plan(start, engines, job, moves)
	tr.Begin(start, first.Prefill, &first, job)
	later := start.Add(10 * time.Second)
	again, _ := tr.Plan(later, engines, newJob(5000, 1000), moves)
	is.Equal(again.Read, 1000)
	if again.Prefill.ID != first.Prefill.ID {
		is.Equal(again.Fetch, first.Prefill.Address)
	}
	elsewhere := newJob(5000, 1000)
	elsewhere.Exclude = map[string]bool{first.Prefill.ID: true}
	far, _ := tr.Plan(later, engines, elsewhere, moves)
	is.True(far.Prefill.ID != first.Prefill.ID)
	is.Equal(far.Read, 6000) // an excluded engine is not fetched from
}

// A part that is still being read cannot be fetched yet.
func TestAPartIsFetchedOnceItIsRead(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(2, 1)
	plan := Plan{Prefill: engines[0], Run: engines[2], FirstEvent: 300 * time.Millisecond, Read: 6000}
	tr.Begin(start, engines[0], &plan, newJob(5000, 1000))
	now, _ := tr.Plan(start, engines, newJob(5000, 1000), moves)
	is.Equal(now.Fetch, "")
	is.Equal(now.Prefill.ID, "p0") // it queues behind the one that reads the part
}

// A part that was pushed out of an engine's cache by later prompts, of this host
// or of a peer, is no longer counted on; one that is used stays.
func TestAPartIsPushedOutByLaterPrompts(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		is := is.New(t)
		tr := NewTracker(DefaultCosts())
		engines := fleet(1, 1)
		small := moves
		small.Capacity = 100_000
		plan := func() Plan {
			p, ok := tr.Plan(start.Add(10*time.Second), engines, newJob(5000, 1000), small)
			is.True(ok)
			return p
		}
		other := &Job{Prompt: 20_000, Parts: []Part{{Hash: 90, Tokens: 10_000}, {Hash: 91, Tokens: 10_000}}}
		push := func() {
			if byPeer {
				tr.PeerPlaced(start, []Placed{{Engine: "p0", Parts: []uint64{90}, Tokens: 20_000}})
				return
			}
			tr.Begin(start, engines[0], &Plan{Prefill: engines[0], Run: engines[1], Read: 20_000}, other).Done()
		}
		first := plan()
		tr.Begin(start, engines[0], &first, newJob(5000, 1000)).Done()
		for range 3 {
			push()
		}
		is.Equal(plan().Read, 1000)
		again := plan()
		tr.Begin(start, engines[0], &again, newJob(5000, 1000)).Done()
		for range 3 {
			push()
		}
		is.Equal(plan().Read, 1000) // used since
		for range 2 {
			push()
		}
		is.Equal(plan().Read, 6000)
	}
}

func TestARejectingEngineIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(0, 2)
	plan := Plan{Run: engines[0], Read: 1000}
	for range 3 {
		tr.Begin(start, engines[0], &plan, newJob(0, 1000)).Rejected(start)
	}
	for at := start; at.Before(start.Add(4 * rejectFirst)); at = at.Add(10 * time.Millisecond) {
		p, _ := tr.Plan(at, engines, newJob(0, 1000), moves)
		is.Equal(p.Run.ID, "d1")
	}
	tr.Begin(start, engines[1], &plan, newJob(0, 30_000)) // busy
	p, _ := tr.Plan(start.Add(rejectLongest), engines, newJob(0, 1000), moves)
	is.Equal(p.Run.ID, "d0") // it is asked again
}

// Where every engine is avoided, one is asked all the same.
func TestTheLastEngineIsAsked(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(0, 1)
	plan := Plan{Run: engines[0], Read: 1000}
	tr.Begin(start, engines[0], &plan, newJob(0, 1000)).Failed(start)
	_, ok := tr.Plan(start, engines, newJob(0, 1000), moves)
	is.True(ok)
}

func TestAnEngineThatChangesItsStageGetsNothing(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(0, 2)
	tr.Switching(start, map[string]time.Duration{"d0": 3 * time.Second})
	p, _ := tr.Plan(start, engines, newJob(0, 1000), moves)
	is.Equal(p.Run.ID, "d1")
	tr.Switched("d0")
	tr.Begin(start, engines[1], &p, newJob(0, 30_000))
	p, _ = tr.Plan(start, engines, newJob(0, 1000), moves)
	is.Equal(p.Run.ID, "d0")
}

func TestCachesThatLapseAreNotMadeAgainAtOnce(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(2, 1)
	tr.Lapsed(start, engines[0])
	p, _ := tr.Plan(start, engines, newJob(0, 9000), moves)
	is.Equal(p.Prefill.ID, "p1")
	tr.Taken(engines[0])
	tr.Begin(start, engines[1], &p, newJob(0, 9000))
	p, _ = tr.Plan(start, engines, newJob(0, 9000), moves)
	is.Equal(p.Prefill.ID, "p0")
}

// An answer goes where memory is left, and stays in the domain of its prompt
// where that costs nothing.
func TestTheGeneratingEngine(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(2, 2)
	for _, from := range engines[:2] {
		e, ok := tr.Runner(start, engines, newJob(0, 9000), moves, from)
		is.True(ok)
		is.Equal(e.Domain, from.Domain)
	}
	tr.Peer(start, "peer", map[string]Load{"d0": {Memory: 480_000}})
	e, ok := tr.Runner(start, engines, newJob(0, 9000), moves, engines[0])
	is.True(ok)
	is.Equal(e.ID, "d1")
}

// The speed of engines is learned from readings that waited for nothing.
func TestSpeedsAreLearned(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(1, 1)
	now := start
	for range 100 {
		job := &Job{Prompt: 2000, Output: 10, Parts: []Part{{Hash: 9, Tokens: 2000}}}
		plan := Plan{Prefill: engines[0], Run: engines[1], Read: 2000, FirstEvent: time.Second}
		f := tr.Begin(now, engines[0], &plan, job)
		now = now.Add(106 * time.Millisecond) // 20 tokens a millisecond
		f.Read(now)
		f.Done()
	}
	prefill, _ := tr.Rates()
	is.True(prefill > 19 && prefill < 21)
}

func TestCallsGoToTheLeastBusyEndpoint(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	apps := []*endpoint.Endpoint{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
	first := tr.Least(start, apps, nil)
	tr.BeginCall(start, first)
	second := tr.Least(start, apps, nil)
	is.True(second.ID != first.ID)
	is.Equal(tr.Least(start, apps, map[string]bool{"a": true, "b": true}), nil)
}

// An endpoint that fails some of its calls, with a good health answer, gets
// fewer; once it serves again it gets its share back.
func TestAnEndpointThatFailsCallsGetsFewer(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	apps := []*endpoint.Endpoint{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
	now := start
	play := func(calls int, failing bool) (toA int) {
		for range calls {
			now = now.Add(20 * time.Millisecond)
			e := tr.Least(now, apps, nil)
			f := tr.BeginCall(now, e)
			if e.ID == "a" {
				toA++
			}
			f.Outcome(now, e.ID != "a" || !failing)
			f.Done()
		}
		return toA
	}
	is.True(play(400, true) < 100)
	now = now.Add(20 * errorHalfLife)
	is.True(play(400, false) > 100)
}

// Dispatches are told to each peer by number; those that are too old are left out.
func TestDispatchesSinceANumber(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultCosts())
	engines := fleet(1, 1)
	plan := Plan{Prefill: engines[0], Run: engines[1], Read: 1000}
	dispatch := func(n int) {
		for range n {
			tr.Begin(start, engines[0], &plan, newJob(500, 500)).Done()
		}
	}
	dispatch(3)
	placed, next := tr.PlacedSince(0)
	is.Equal(len(placed), 3)
	is.Equal(next, int64(3))
	dispatch(2)
	placed, next = tr.PlacedSince(next)
	is.Equal(len(placed), 2)
	is.Equal(next, int64(5))
	dispatch(10 * maxPlaced)
	placed, next = tr.PlacedSince(next)
	is.True(len(placed) <= maxPlaced)
	is.Equal(next, int64(5+10*maxPlaced))
	// What a peer hears of is fetched from there.
	other := NewTracker(DefaultCosts())
	job := newJob(5000, 1000)
	other.Plan(start, engines, job, moves)
	other.PeerPlaced(start, []Placed{{Engine: "p0", Parts: []uint64{1}}, {Engine: "p0", Parts: []uint64{1}}})
	p, _ := other.Plan(start.Add(time.Second), engines, job, moves)
	is.Equal(p.Read, 1000)
}

func BenchmarkPlan(b *testing.B) {
	tr := NewTracker(DefaultCosts())
	engines := fleet(6, 3)
	job := newJob(5000, 7000)
	for b.Loop() {
		p, _ := tr.Plan(start, engines, job, moves)
		tr.Begin(start, p.Reader(), &p, job).Done()
	}
}
