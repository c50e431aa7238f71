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
	s.Replace(start, []*Endpoint{engine("a"), engine("b")})
	is.Equal(ids(s), "ab")
	leaving := engine("a")
	leaving.Draining = true
	c := s.Update(start, []*Endpoint{leaving}, nil)
	is.Equal(len(c.Left), 1)
	is.Equal(ids(s), "b")
}

func TestAMissingEntryIsGone(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, []*Endpoint{engine("a"), engine("b")})
	s.Replace(start.Add(time.Second), []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// Entries lapse while the store is away, although their endpoints live. After
// its return they have a while to be listed again; then the listing is believed.
func TestEntriesThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, []*Endpoint{engine("a"), engine("b")})
	s.Failed()
	back := start.Add(5 * time.Second)
	c := s.Replace(back, []*Endpoint{engine("b")})
	is.Equal(len(c.Kept), 1)
	is.Equal(ids(s), "ab")
	s.Update(back.Add(time.Second), nil, []string{"a"})
	is.Equal(ids(s), "ab")
	s.Replace(back.Add(settle), []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// An endpoint that was seen to drain stays out, also when its entry lapses and
// the store fails.
func TestADrainingEndpointStaysOutThroughAnOutage(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, []*Endpoint{engine("a"), engine("b")})
	leaving := engine("a")
	leaving.Draining = true
	s.Replace(start, []*Endpoint{leaving, engine("b")})
	s.Failed()
	s.Replace(start.Add(time.Second), []*Endpoint{engine("b")})
	is.Equal(ids(s), "b")
}

// One ID may start again: it is another endpoint.
func TestANewStartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	leaving := engine("a")
	leaving.Born, leaving.Draining = 1, true
	s.Replace(start, []*Endpoint{leaving})
	is.Equal(ids(s), "")
	again := engine("a")
	again.Born = 2
	c := s.Replace(start, []*Endpoint{again})
	is.Equal(len(c.Added), 1)
	is.Equal(ids(s), "a")
}

func TestAChangeOfStageIsTold(t *testing.T) {
	is := is.New(t)
	s := NewSet(settle)
	s.Replace(start, []*Endpoint{engine("a")})
	other := engine("a")
	other.Stage = StagePrefill
	c := s.Update(start, []*Endpoint{other}, nil)
	is.Equal(len(c.Restaged), 1)
	is.Equal(s.Get("a").Stage, StagePrefill)
}
