package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// holdersAfterLostRelease returns how many hosts use a piece after its holder
// did not learn that the key is deleted, and comes first for it again.
func holdersAfterLostRelease(t *testing.T, f flaws) (n int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(0, "p")
		s.add("h0", f)
		s.add("h1", f)
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		first := s.byName(s.holders("p")[0])
		s.live = []string{map[string]string{"h0": "h1", "h1": "h0"}[first.name]}
		first.set.Step(t.Context()) // stops using the piece
		time.Sleep(DefaultSettings().OrderDeadline)
		first.client.LoseNext(3)
		first.set.Step(t.Context()) // renews, deletes the key and learns of none
		s.byName(s.live[0]).set.Step(t.Context())
		is.Equal(s.holders("p"), s.live)
		s.live = []string{first.name}
		first.set.Step(t.Context())
		n = len(s.holders("p"))
		s.store.Close()
	})
	return n
}

func TestLostReleaseIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	is.Equal(holdersAfterLostRelease(t, flaws{}), 1)
	is.Equal(holdersAfterLostRelease(t, flaws{takesBack: true}), 2) // the check can fail
}

// A key that was written late, after its host had given the attempt up, is
// released when another host should hold the piece.
func TestLateCreateIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(2, "p", "q")
		s.live = []string{"h0"}
		s.await(t, func() bool { return len(s.holders("p"))+len(s.holders("q")) == 2 })
		s.pieces = []string{"p", "q", "late"}
		h0 := s.byName("h0")
		h0.client.DelayWrites(1, 3*time.Second)
		h0.set.Step(t.Context())
		h0.client.DelayWrites(0, 0)
		s.live = []string{"h1"}
		time.Sleep(4 * time.Second)
		s.await(t, func() bool { return len(s.holders("late")) == 1 && s.holders("late")[0] == "h1" })
		s.store.Close()
	})
}

// A slow store must not end the authority of a host that has much to take.
func TestManyPiecesOnASlowStoreKeepTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1, "p")
		s.await(t, func() bool { return len(s.holders("p")) == 1 })
		for n := range 40 {
			s.pieces = append(s.pieces, fmt.Sprint("new", n))
		}
		s.store.SetDelay(900 * time.Millisecond)
		fence, _, _ := s.hosts[0].set.Held("p")
		s.hosts[0].set.Step(t.Context())
		s.hosts[0].set.Step(t.Context())
		again, _, held := s.hosts[0].set.Held("p")
		is.True(held)
		is.Equal(again, fence)
		is.Equal(s.hosts[0].set.Stats().Expired.Load(), int64(0))
		s.store.Close()
	})
}

// The platform's list of hosts lags: a holder that died or was stopped is
// replaced although the list goes on naming it.
func TestTakeoverDoesNotWaitForTheHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(0, "p", "q", "r")
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 3 {
			name := fmt.Sprint("h", i)
			d := NewDirectory(s.store.Client(name))
			go d.Run(ctx)
			s.add(name, flaws{})
			h := s.hosts[i]
			h.set.o.Pieces = func() []string { return append([]string{HostPiece(name)}, s.pieces...) }
			h.set.o.Preferred = func(piece string) (string, bool) { return d.Preferred(piece, s.live) }
		}
		all := func() bool {
			return len(s.holders("p")) == 1 && len(s.holders("q")) == 1 && len(s.holders("r")) == 1
		}
		s.await(t, all)
		s.byName(s.holders("p")[0]).dead = true
		took := s.await(t, all)
		t.Logf("taken over %v after the holder's death, which the list of hosts does not show", took)
		is.True(took <= 15*time.Second)
		cancel()
		s.store.Close()
	})
}
