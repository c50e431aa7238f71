package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeDelegate answers reservations with a function.
type fakeDelegate struct {
	entry Entry
	mu    sync.Mutex // guards calls
	calls []*ReserveRequest
}

func startDelegate(t *testing.T, name string, answer func(*ReserveRequest) *ReserveResponse) *fakeDelegate {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeDelegate{entry: Entry{Host: name, Address: l.Addr().String()}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx, l, handler{reserve: func(in *ReserveRequest) *ReserveResponse {
			d.mu.Lock()
			d.calls = append(d.calls, in)
			d.mu.Unlock()
			return answer(in)
		}})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

func (d *fakeDelegate) requests() []*ReserveRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func grantAll(in *ReserveRequest) *ReserveResponse {
	out := &ReserveResponse{}
	for _, r := range in.Reservations {
		out.Grants = append(out.Grants, Grant{OK: r.Tokens <= 100, RetryMillis: 7})
	}
	return out
}

func TestReservationsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	d := startDelegate(t, "d", grantAll)
	r := NewReserver("m", func() []Entry { return []Entry{d.entry} })
	var callers sync.WaitGroup
	for i := range 50 {
		callers.Go(func() {
			tokens := int64(50 + i%2*100)
			grant, err := r.Reserve("w", tokens)
			if err != nil || grant.OK != (tokens <= 100) || grant.RetryMillis != 7 {
				t.Errorf("reservation of %d: %v, %v", tokens, grant, err)
			}
		})
	}
	callers.Wait()
	r.Refund("w", 50, 3*time.Second)
	_, err := r.Reserve("w", 1)
	is.NoErr(err)
	refunds := 0
	for _, call := range d.requests() {
		is.Equal(call.Host, "m")
		for _, x := range call.Reservations {
			if x.RefundAgeMillis >= 0 {
				refunds++
				is.Equal(x, Reservation{Workspace: "w", Tokens: 50, RefundAgeMillis: 3000})
			}
		}
	}
	is.Equal(refunds, 1)
}

// A delegate that is not ready, or that cannot be reached, is replaced by the next one
// at once and left alone for a while.
func TestReserverAsksNextDelegate(t *testing.T) {
	is := is.New(t)
	notReady := startDelegate(t, "a", func(*ReserveRequest) *ReserveResponse { return &ReserveResponse{NotReady: true} })
	ready := startDelegate(t, "b", grantAll)
	for _, first := range []Entry{notReady.entry, {Host: "gone", Address: "127.0.0.1:1"}} {
		r := NewReserver("m", func() []Entry { return []Entry{first, ready.entry} })
		for range 3 {
			grant, err := r.Reserve("w", 5)
			is.NoErr(err)
			is.True(grant.OK)
		}
	}
	is.Equal(len(notReady.requests()), 1)
}

// Without a delegate that answers, the error comes in a bounded time.
func TestReserverFailsInTime(t *testing.T) {
	is := is.New(t)
	silent := startDelegate(t, "a", func(*ReserveRequest) *ReserveResponse {
		time.Sleep(20 * reserveTimeout)
		return &ReserveResponse{}
	})
	r := NewReserver("m", func() []Entry { return []Entry{silent.entry} })
	_, err := r.Reserve("w", 5)
	is.True(err != nil)
	r = NewReserver("m", func() []Entry { return nil })
	_, err = r.Reserve("w", 5)
	is.True(err != nil)
}
