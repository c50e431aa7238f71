package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Reservation asks a delegate for tokens of a workspace's rate limit, or returns them.
type Reservation struct {
	Workspace string
	Tokens    int64
	// RefundAgeMillis is, for tokens that are returned, the time since they were
	// reserved; negative for a reservation.
	RefundAgeMillis int64
}

// ReserveRequest holds reservations of one host.
type ReserveRequest struct {
	Host         string
	Reservations []Reservation
}

// Grant is the outcome of a reservation.
type Grant struct {
	OK bool
	// RetryMillis is the delay after which a refused reservation may be tried again.
	RetryMillis int64
}

// ReserveResponse holds the outcome of each reservation of a request, in order.
type ReserveResponse struct {
	Grants []Grant
	// NotReady reports that the delegate cannot grant tokens yet.
	NotReady bool
}

const (
	// reserveTimeout bounds one call to a delegate. A caller waits meanwhile.
	reserveTimeout = 80 * time.Millisecond
	// reserverAvoidance is how long a delegate that failed is not asked again.
	reserverAvoidance = 2 * time.Second
	// maxReservations bounds the reservations of one call.
	maxReservations = 256
)

// errNoGrant reports that no delegate answered a reservation.
var errNoGrant = errors.New("no delegate answered the reservation")

// Reserver makes reservations at a delegate. Concurrent ones share a call. It is safe
// for concurrent use.
type Reserver struct {
	// host is the name of this host.
	host string
	// candidates returns the delegates to ask, the preferred one first.
	candidates func() []Entry

	mu      sync.Mutex // guards the fields below
	pending []*pendingReservation
	running bool
	// current is the delegate asked last, avoid holds those that failed.
	current string
	avoid   map[string]time.Time

	// clients holds the connections by address. It belongs to the goroutine that runs.
	clients map[string]*client
}

type pendingReservation struct {
	Reservation
	// done receives the outcome; nil if nobody waits for it.
	done chan reserveOutcome
}

type reserveOutcome struct {
	grant Grant
	err   error
}

// NewReserver returns a reserver for the host.
func NewReserver(host string, candidates func() []Entry) *Reserver {
	return &Reserver{host: host, candidates: candidates, avoid: make(map[string]time.Time), clients: make(map[string]*client)}
}

// Reserve reserves tokens of the workspace's rate limit and waits for the outcome. An
// error means that no delegate answered, and that tokens may have been consumed in vain.
func (r *Reserver) Reserve(workspace string, tokens int64) (Grant, error) {
	p := &pendingReservation{Reservation: Reservation{Workspace: workspace, Tokens: tokens, RefundAgeMillis: -1}, done: make(chan reserveOutcome, 1)}
	r.enqueue(p)
	outcome := <-p.done
	return outcome.grant, outcome.err
}

// Refund returns tokens that were reserved the given time ago. It does not wait; tokens
// whose return is lost stay consumed.
func (r *Reserver) Refund(workspace string, tokens int64, age time.Duration) {
	r.enqueue(&pendingReservation{Reservation: Reservation{Workspace: workspace, Tokens: tokens, RefundAgeMillis: max(0, age.Milliseconds())}})
}

func (r *Reserver) enqueue(p *pendingReservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, p)
	if !r.running {
		r.running = true
		go r.run()
	}
}

// run makes calls until no reservation is pending.
func (r *Reserver) run() {
	for {
		r.mu.Lock()
		if len(r.pending) == 0 {
			r.running = false
			r.mu.Unlock()
			return
		}
		batch := r.pending[:min(len(r.pending), maxReservations)]
		r.pending = r.pending[len(batch):]
		r.mu.Unlock()
		r.call(batch)
	}
}

// maxReserveTries is the number of delegates asked for one batch.
const maxReserveTries = 2

// call makes the reservations of a batch at one delegate, or at another one if that
// fails.
func (r *Reserver) call(batch []*pendingReservation) {
	request := &ReserveRequest{Host: r.host}
	for _, p := range batch {
		request.Reservations = append(request.Reservations, p.Reservation)
	}
	var response ReserveResponse
	err := errNoGrant
	for range maxReserveTries {
		delegate, ok := r.choose(time.Now())
		if !ok {
			break
		}
		response = ReserveResponse{}
		err = r.invoke(delegate, request, &response)
		if err == nil && (response.NotReady || len(response.Grants) != len(batch)) {
			err = errNoGrant
		}
		if err == nil {
			break
		}
		r.failed(delegate.Host)
	}
	for i, p := range batch {
		if p.done == nil {
			continue
		}
		outcome := reserveOutcome{err: err}
		if err == nil {
			outcome.grant = response.Grants[i]
		}
		p.done <- outcome
	}
}

// choose returns the delegate to ask: the one asked last, or the preferred one that has
// not failed recently.
func (r *Reserver) choose(now time.Time) (Entry, bool) {
	candidates := r.candidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen *Entry
	for i := range candidates {
		e := &candidates[i]
		if now.Before(r.avoid[e.Host]) {
			continue
		}
		if chosen == nil || e.Host == r.current {
			chosen = e
		}
	}
	if chosen == nil {
		return Entry{}, false
	}
	r.current = chosen.Host
	return *chosen, true
}

// failed records that a delegate did not answer.
func (r *Reserver) failed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, until := range r.avoid {
		if now.After(until) {
			delete(r.avoid, name)
		}
	}
	r.avoid[host] = now.Add(reserverAvoidance)
	r.current = ""
}

// invoke makes one call to a delegate over a connection that is kept.
func (r *Reserver) invoke(delegate Entry, request *ReserveRequest, response *ReserveResponse) error {
	c := r.clients[delegate.Address]
	if c == nil {
		for address, other := range r.clients {
			other.close()
			delete(r.clients, address)
		}
		c = &client{address: delegate.Address}
		r.clients[delegate.Address] = c
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	return c.invoke(ctx, reserveCall, request, response)
}
