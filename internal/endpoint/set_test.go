package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/backing"
)

const settlingDelay = 2 * time.Second

var start = time.Unix(1_700_000_000, 0)

func newEngine(id string) *Endpoint {
	return &Endpoint{ID: id, Address: id + ":1", Service: "s", Domain: "d", Slots: 1, Stage: StageDecode}
}

func endpointIDs(s *Set) string {
	out := ""
	for _, e := range s.Service("s") {
		out += e.ID
	}
	return out
}

func TestPutRemovesDrainingEndpoint(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b")})
	is.Equal(endpointIDs(s), "ab")
	draining := newEngine("a")
	draining.Draining = true
	c := s.Put(start, draining)
	is.Equal(len(c.Removed), 1)
	is.Equal(endpointIDs(s), "b")
}

func TestReplaceRemovesMissingEndpoint(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b")})
	s.Replace(start.Add(time.Second), 0, []*Endpoint{newEngine("b")})
	is.Equal(endpointIDs(s), "b")
}

// Entries expire during an outage of the store although their endpoints are
// alive. They may be listed again within the settling delay; after it the
// listing is applied.
func TestReplaceRetainsMissingEndpointAfterOutage(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b")})
	s.RegistryFailed()
	recoveredAt := start.Add(5 * time.Second)
	c := s.Replace(recoveredAt, 0, []*Endpoint{newEngine("b")})
	is.Equal(len(c.Retained), 1)
	is.Equal(endpointIDs(s), "ab")
	s.Remove(recoveredAt.Add(time.Second), "a", 0)
	is.Equal(endpointIDs(s), "ab")
	s.Replace(recoveredAt.Add(settlingDelay), 0, []*Endpoint{newEngine("b")})
	is.Equal(endpointIDs(s), "b")
}

// A drained endpoint stays removed when its entry expires during an outage of
// the store.
func TestReplaceExcludesDrainedEndpointAfterOutage(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b")})
	draining := newEngine("a")
	draining.Draining = true
	s.Replace(start, 0, []*Endpoint{draining, newEngine("b")})
	s.RegistryFailed()
	s.Replace(start.Add(time.Second), 0, []*Endpoint{newEngine("b")})
	is.Equal(endpointIDs(s), "b")
}

// An ID may be reused by a new incarnation.
func TestReplaceAddsNewIncarnationOfDrainedID(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	draining := newEngine("a")
	draining.StartedAtMS, draining.Draining = 1, true
	s.Replace(start, 0, []*Endpoint{draining})
	is.Equal(endpointIDs(s), "")
	restarted := newEngine("a")
	restarted.StartedAtMS = 2
	c := s.Replace(start, 0, []*Endpoint{restarted})
	is.Equal(len(c.Added), 1)
	is.Equal(endpointIDs(s), "a")
}

func TestPutReportsStageChange(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a")})
	other := newEngine("a")
	other.Stage = StagePrefill
	c := s.Put(start, other)
	is.Equal(len(c.StageChanged), 1)
	is.Equal(s.Get("a").Stage, StagePrefill)
}

// newEngineAt returns an engine whose entry has the revision.
func newEngineAt(id string, revision backing.Revision) *Endpoint {
	e := newEngine(id)
	e.Revision = revision
	return e
}

// A slow listing may be delivered after newer updates of the watch.
func TestReplaceIgnoresOlderListing(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 10, []*Endpoint{newEngineAt("a", 5), newEngineAt("b", 6)})
	s.Remove(start, "a", 12)
	s.Put(start, newEngineAt("c", 13))
	stageChanged := newEngineAt("b", 14)
	stageChanged.Stage = StagePrefill
	s.Put(start, stageChanged)
	s.Replace(start, 11, []*Endpoint{newEngineAt("a", 5), newEngineAt("b", 6)})
	is.Equal(endpointIDs(s), "bc")
	is.Equal(s.Get("b").Stage, StagePrefill)
}

// An entry written before the endpoint drained but delivered later does not
// restore it, and neither does an older listing.
func TestPutIgnoresDrainedIncarnation(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 10, []*Endpoint{newEngineAt("a", 5), newEngineAt("b", 6)})
	draining := newEngineAt("a", 12)
	draining.Draining = true
	s.Put(start, draining)
	s.Replace(start, 11, []*Endpoint{newEngineAt("a", 5), newEngineAt("b", 6)})
	is.Equal(endpointIDs(s), "b")
	s.Put(start, newEngineAt("a", 15)) // a late heartbeat
	is.Equal(endpointIDs(s), "b")
	restarted := newEngineAt("a", 16)
	restarted.StartedAtMS = 7
	s.Put(start, restarted)
	is.Equal(endpointIDs(s), "ab")
}

// An entry that expired and is written again belongs to a live endpoint.
func TestPutRestoresRewrittenEntry(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Put(start, newEngineAt("a", 5))
	s.Remove(start, "a", 6)
	is.Equal(endpointIDs(s), "")
	s.Put(start, newEngineAt("a", 7))
	is.Equal(endpointIDs(s), "a")
}

// An incarnation that states that it leaves is gone at once, and stays so while its entry
// stands. Another incarnation under its ID is not meant.
func TestLeaveRemovesIncarnationWhateverTheRegistrySays(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b")})
	c := s.Leave(start, Key{ID: "a"})
	is.Equal(len(c.Removed), 1)
	is.True(c.Removed[0].Draining)
	is.Equal(endpointIDs(s), "b")
	is.Equal(len(s.Leave(start, Key{ID: "a"}).Removed), 0) // told again
	for age := time.Duration(0); age < time.Hour; age += time.Minute {
		s.Replace(start.Add(age), 0, []*Endpoint{newEngine("a"), newEngine("b")})
		is.Equal(endpointIDs(s), "b")
	}
	returned := newEngine("a")
	returned.StartedAtMS = 5
	s.Put(start.Add(time.Hour), returned)
	is.Equal(endpointIDs(s), "ab")
	is.Equal(len(s.Leave(start.Add(time.Hour), Key{ID: "a"}).Removed), 0) // a late answer of the one before
	is.Equal(endpointIDs(s), "ab")
}

// Endpoints that went missing in an outage stay through the outage and the settling delay.
func TestRemoveMissingWaitsForSettlingDelay(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	is.True(!s.HasListing())
	s.Replace(start, 0, []*Endpoint{newEngine("a"), newEngine("b"), newEngine("c")})
	is.True(s.HasListing())
	s.RegistryFailed()
	s.Remove(start.Add(time.Hour), "a", 0)
	is.True(s.Missing("a"))
	is.Equal(len(s.RemoveMissing(start.Add(time.Hour)).Removed), 0)
	recoveredAt := start.Add(2 * time.Hour)
	s.Replace(recoveredAt, 0, []*Endpoint{newEngine("c")})
	is.True(s.Missing("a") && s.Missing("b") && !s.Missing("c"))
	s.Put(recoveredAt, newEngine("b")) // listed again
	is.True(!s.Missing("b"))
	is.Equal(len(s.RemoveMissing(recoveredAt.Add(settlingDelay-1)).Removed), 0)
	is.Equal(endpointIDs(s), "abc")
	is.Equal(len(s.RemoveMissing(recoveredAt.Add(settlingDelay)).Removed), 1)
	is.Equal(endpointIDs(s), "bc")
	is.True(!s.Missing("a"))
	is.Equal(len(s.RemoveMissing(recoveredAt.Add(settlingDelay)).Removed), 0)
}

// Without an outage before it, a missing entry is removed at once.
func TestRemoveWithoutOutage(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, 0, []*Endpoint{newEngine("a")})
	c := s.Remove(start, "a", 0)
	is.Equal(len(c.Removed), 1)
	is.Equal(len(c.Retained), 0)
	is.True(s.Get("a") == nil)
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Put(start, newEngineAt("a", 6))
	s.Remove(start, "a", 5)
	s.Replace(start, 5, nil)
	is.Equal(endpointIDs(s), "a")
	s.Replace(start, 6, nil)
	is.Equal(endpointIDs(s), "")
	s.Put(start, newEngineAt("b", 6))
	s.Remove(start, "b", 6)
	is.Equal(endpointIDs(s), "")
}

func TestPutReportsWhatItReplaces(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	c := s.Put(start, newEngine("a"))
	is.Equal([]int{len(c.Added), len(c.Replaced), len(c.StageChanged)}, []int{1, 0, 0})
	c = s.Put(start, newEngine("a"))
	is.Equal([]int{len(c.Added), len(c.Replaced), len(c.StageChanged)}, []int{0, 0, 0})
	restarted := newEngine("a")
	restarted.StartedAtMS, restarted.Stage = 7, StagePrefill
	c = s.Put(start, restarted)
	is.Equal([]int{len(c.Added), len(c.Replaced), len(c.StageChanged)}, []int{1, 1, 0})
	is.Equal(c.Replaced[0].StartedAtMS, int64(0))
}

// A drained endpoint that was not in the set is no removal.
func TestPutOfDrainingEndpointThatIsNotKnownRemovesNothing(t *testing.T) {
	is := is.New(t)
	draining := newEngine("a")
	draining.Draining = true
	is.Equal(len(NewSet(settlingDelay).Put(start, draining).Removed), 0)
}

func TestRemovedEndpointIsRememberedForTombstoneTTL(t *testing.T) {
	for age, want := range map[time.Duration]string{tombstoneTTL: "b", tombstoneTTL + 1: "ab"} {
		is := is.New(t)
		s := NewSet(settlingDelay)
		s.Put(start, newEngineAt("a", 5))
		s.Remove(start, "a", 6)
		s.Put(start.Add(age), newEngineAt("b", 7))
		s.Put(start.Add(age), newEngineAt("a", 5))
		is.Equal(endpointIDs(s), want)
	}
	is.New(t).True(tombstoneTTL >= time.Minute) // longer than any drain
}

// While an endpoint is in the set, its revision is remembered however old it is.
func TestRevisionOfPresentEndpointIsRemembered(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Put(start, newEngineAt("a", 5))
	s.Put(start.Add(time.Hour), newEngineAt("b", 6))
	s.Put(start.Add(time.Hour), newEngineAt("c", 7))
	older := newEngineAt("a", 4)
	older.Stage = StagePrefill
	s.Put(start.Add(time.Hour), older)
	is.Equal(s.Get("a").Stage, StageDecode)
}

func TestIncarnationThatLeftIsRememberedForDrainedTTL(t *testing.T) {
	for age, want := range map[time.Duration]string{drainedTTL: "b", drainedTTL + 1: "ab"} {
		is := is.New(t)
		s := NewSet(settlingDelay)
		s.Leave(start, Key{ID: "a"})
		s.Put(start.Add(age), newEngine("b"))
		s.Put(start.Add(age), newEngine("a"))
		is.Equal(endpointIDs(s), want)
	}
	is.New(t).True(drainedTTL > tombstoneTTL)
}

func inEra(t *testing.T, era, number int64) backing.Revision {
	t.Helper()
	r, err := backing.NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// Guards against endpoints that left, or were replaced, and are used again since the registry
// was restored from a copy that has their entries.
func TestEndpointThatLeftDoesNotReturnWithCopy(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	older, newer := newEngineAt("b", inEra(t, 1, 6)), newEngineAt("b", inEra(t, 1, 12))
	older.StartedAtMS, newer.StartedAtMS = 100, 200
	s.Replace(start, inEra(t, 1, 10), []*Endpoint{newEngineAt("a", inEra(t, 1, 5)), older, newEngineAt("c", inEra(t, 1, 7))})
	s.Remove(start, "a", inEra(t, 1, 11))
	s.Put(start, newer)
	is.Equal(endpointIDs(s), "bc")
	s.RegistryFailed()
	copied := func(number int64) []*Endpoint {
		again := newEngineAt("b", inEra(t, 2, 6))
		again.StartedAtMS = 100
		return []*Endpoint{newEngineAt("a", inEra(t, 2, number)), again, newEngineAt("c", inEra(t, 2, 7))}
	}
	for range 2 {
		s.Replace(start, inEra(t, 2, 8), copied(5))
		is.Equal(endpointIDs(s), "bc")
		is.Equal(s.Get("b").StartedAtMS, int64(200))
	}
	s.Replace(start, inEra(t, 2, 9), copied(9)) // written since: it lives
	is.Equal(endpointIDs(s), "abc")
}

// Guards against endpoints that stay away for ever: their entries were removed in a silence.
func TestEndpointOfCopyReturnsAfterWhile(t *testing.T) {
	is := is.New(t)
	s := NewSet(settlingDelay)
	s.Replace(start, inEra(t, 1, 10), []*Endpoint{newEngineAt("a", inEra(t, 1, 5))})
	s.Remove(start, "a", inEra(t, 1, 11))
	s.Put(start, newEngineAt("a", inEra(t, 1, 12))) // in the same era it is back at once
	is.Equal(endpointIDs(s), "a")
	s.Remove(start, "a", inEra(t, 1, 13))
	s.Put(start, newEngineAt("a", inEra(t, 2, 5)))
	is.Equal(endpointIDs(s), "")
	s.Put(start.Add(tombstoneTTL+time.Second), newEngineAt("a", inEra(t, 2, 5)))
	is.Equal(endpointIDs(s), "a")
}
