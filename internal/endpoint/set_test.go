package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const settle = 2 * time.Second

var start = time.Unix(1_700_000_000, 0)

func engine(id string) *Endpoint {
	return &Endpoint{ID: id, Address: id + ":1", Service: "s", Domain: "d", Slots: 1, Stage: StageDecode}
}

func ids(s *Set) string {
	out := ""
	for _, e := range s.Service("s") {
		out += e.ID
	}
	return out
}

func TestADrainingEndpointTakesNoWork(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 0, []*Endpoint{engine("a"), engine("b")})
	is.Equal(ids(s), "ab")
	leaving := engine("a")
	leaving.Draining = true
	c := s.Put(start, leaving)
	is.Equal(len(c.Left), 1)
	is.Equal(ids(s), "b")
}

func TestAMissingEntryIsGone(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 0, []*Endpoint{engine("a"), engine("b")})
	s.Replace(start.Add(time.Second), 0, []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// Entries lapse while the store is away, although their endpoints live. After
// its return they have a while to be listed again; then the listing is believed.
func TestEntriesThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 0, []*Endpoint{engine("a"), engine("b")})
	s.Failed()
	back := start.Add(5 * time.Second)
	c := s.Replace(back, 0, []*Endpoint{engine("b")})
	is.Equal(len(c.Kept), 1)
	is.Equal(ids(s), "ab")
	s.Remove(back.Add(time.Second), "a", 0)
	is.Equal(ids(s), "ab")
	s.Replace(back.Add(settle), 0, []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// An endpoint that was seen to drain stays out, also when its entry lapses and
// the store fails.
func TestADrainingEndpointStaysOutThroughAnOutage(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 0, []*Endpoint{engine("a"), engine("b")})
	leaving := engine("a")
	leaving.Draining = true
	s.Replace(start, 0, []*Endpoint{leaving, engine("b")})
	s.Failed()
	s.Replace(start.Add(time.Second), 0, []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// One ID may start again: it is another endpoint.
func TestANewStartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	leaving := engine("a")
	leaving.Born, leaving.Draining = 1, true
	s.Replace(start, 0, []*Endpoint{leaving})
	is.Equal(ids(s), "")
	again := engine("a")
	again.Born = 2
	c := s.Replace(start, 0, []*Endpoint{again})
	is.Equal(len(c.Added), 1)
	is.Equal(ids(s), "a")
}

func TestAChangeOfStageIsTold(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 0, []*Endpoint{engine("a")})
	other := engine("a")
	other.Stage = StagePrefill
	c := s.Put(start, other)
	is.Equal(len(c.Restaged), 1)
	is.Equal(s.Get("a").Stage, StagePrefill)
}

// at is an engine as its entry stood at a revision.
func at(id string, revision int64) *Endpoint {
	e := engine(id)
	e.Revision = revision
	return e
}

// A slow listing answers after the watch: what the watch told is newer.
func TestAnOlderListingChangesNothing(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 10, []*Endpoint{at("a", 5), at("b", 6)})
	s.Remove(start, "a", 12)
	s.Put(start, at("c", 13))
	restaged := at("b", 14)
	restaged.Stage = StagePrefill
	s.Put(start, restaged)
	s.Replace(start, 11, []*Endpoint{at("a", 5), at("b", 6)})
	is.Equal(ids(s), "bc")
	is.Equal(s.Get("b").Stage, StagePrefill)
}

// An entry that an endpoint wrote before it drained, and that comes after, does
// not bring it back; the same holds for a listing that was read before.
func TestADrainingEndpointNeverComesBack(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, 10, []*Endpoint{at("a", 5), at("b", 6)})
	leaving := at("a", 12)
	leaving.Draining = true
	s.Put(start, leaving)
	s.Replace(start, 11, []*Endpoint{at("a", 5), at("b", 6)})
	is.Equal(ids(s), "b")
	s.Put(start, at("a", 15)) // a late heartbeat
	is.Equal(ids(s), "b")
	again := at("a", 16)
	again.Born = 7
	s.Put(start, again)
	is.Equal(ids(s), "ab")
}

// An entry that lapsed and is written again is an endpoint that lives.
func TestALapsedEntryThatReturnsIsBelieved(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Put(start, at("a", 5))
	s.Remove(start, "a", 6)
	is.Equal(ids(s), "")
	s.Put(start, at("a", 7))
	is.Equal(ids(s), "a")
}
