package host

import (
	"bufio"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Guards against requests to an endpoint that has said in an answer that it leaves: its entry
// in the registry still says that it is ready.
func TestHostSendsNothingToEndpointThatStatesThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStoppingHost(8 * time.Second)
		defer s.stop()
		send := func(n int) string {
			c, ok := s.listener.dial()
			is.True(ok)
			defer c.Close()
			id := strconv.Itoa(n)
			o := &order{id: id}
			o.send(c, bufio.NewReader(c), 0, requestText(id, "/short/x"))
			is.True(o.complete)
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.ranAt[id]
		}
		listing := s.endpoints.Service("app")
		s.mu.Lock()
		s.leaving = "a3"
		s.mu.Unlock()
		told := false
		for n := range 400 {
			at := send(n)
			if told {
				is.True(at != "a3")
			}
			told = told || at == "a3"
			if n%100 == 50 {
				time.Sleep(3 * time.Minute) // longer than endpoints that left are usually remembered
			}
			if n%10 == 0 {
				s.endpoints.Replace(time.Now(), 0, listing) // the entry stands
				s.catalog.Confirm(1, s.clock.Now())
			}
		}
		is.True(told)
		again := *listing[3]
		again.StartedAtMS = 7
		s.endpoints.Put(time.Now(), &again)
		is.True(s.endpoints.Get("a3") != nil) // a later incarnation has said nothing
	})
}

// Guards against hosts that go on sending to an endpoint until each of them was told that it leaves.
func TestOtherHostsHearOfEndpointThatStatesThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEngineFleet(t, 5, 3, 0, 4)
		defer f.end()
		time.Sleep(settlingTime)
		for n := range 3 {
			time.Sleep(time.Duration(73*n) * time.Millisecond) // at any time of the exchanges
			engine := f.engines[n].entry
			f.live()[n].endpointStated(engine, endpoint.Statement{Leaving: true})
			time.Sleep(40 * time.Millisecond) // half of the time between regular exchanges
			for _, x := range f.live() {
				is.Equal(x.tracker.Departures(time.Now())[engine.ID].StartedAtMS, engine.StartedAtMS)
			}
		}
		time.Sleep(10 * time.Second) // hosts that tell each other again do not prolong it
		for _, x := range f.live() {
			is.Equal(len(x.tracker.Departures(time.Now())), 0)
		}
	})
}
