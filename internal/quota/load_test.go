package quota

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

func sizeOf(p *wire.QuotaPart) int { return proto.Size(p) }

// load is a stream of requests of one workspace.
type load struct {
	workspace string
	// tokens is the offered load in used tokens a second.
	tokens float64
	// hosts are the numbers of the hosts that the requests come to.
	hosts []int
	seed  uint64
	// waves is set for a load that stops and starts. The answers of every
	// other wave are far shorter than reserved and end when the next wave is
	// on, whose answers are as long as reserved.
	waves bool
}

const (
	waveOn    = 3 * time.Second
	waveEvery = 15 * time.Second
	waveLoad  = 5
)

// request is one request of a load.
type request struct {
	prompt, max, used int64
	// queued is the wait before the request is sent, duration the time after.
	queued, duration time.Duration
}

func (l *load) draw(rnd *rand.Rand, at time.Duration) request {
	if l.waves && (at/waveEvery)%2 == 0 {
		return request{prompt: 50, max: 950, used: 100, duration: waveEvery + time.Second/2}
	}
	if l.waves {
		return request{prompt: 50, max: 250, used: 300, duration: time.Second}
	}
	prompt, longest := 100+rnd.Int64N(400), 100+rnd.Int64N(400)
	output := 1 + rnd.Int64N(longest)
	var queued time.Duration
	if rnd.IntN(4) == 0 {
		queued = time.Duration(rnd.Int64N(int64(2 * time.Second)))
	}
	return request{
		prompt: prompt, max: longest, used: prompt + output, queued: queued,
		duration: time.Duration(output) * 30 * time.Millisecond,
	}
}

// meanUsed is the mean of request.used.
const meanUsed = 300 + 150

// offer sends the load for the time d.
func (f *fleet) offer(l load, d time.Duration) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	start := time.Now()
	end := start.Add(d)
	if l.waves {
		l.tokens *= waveLoad
	}
	for {
		gap := rnd.ExpFloat64() * meanUsed / l.tokens
		time.Sleep(time.Duration(gap * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		if l.waves && time.Since(start)%waveEvery > waveOn {
			continue
		}
		h := f.hosts[l.hosts[rnd.IntN(len(l.hosts))]]
		go f.send(l.workspace, h, l.draw(rnd, time.Since(start)))
	}
}

// send reserves for one request, starts it and settles when its answer would be over.
func (f *fleet) send(workspace string, h *fleetHost, r request) {
	f.mu.Lock()
	limiter, dead := h.limiter, h.dead
	f.mu.Unlock()
	if dead {
		return
	}
	limit := f.limits[workspace]
	res, err := limiter.Reserve(f.ctx, workspace, limit.Rate, limit.Burst, r.prompt+r.max)
	if err == nil {
		time.Sleep(r.queued)
		err = res.Start(f.ctx)
	}
	f.mu.Lock()
	f.sent[workspace]++
	if err != nil {
		f.refused[workspace]++
		f.mu.Unlock()
		if res != nil {
			res.Settle(0)
		}
		return
	}
	f.log = append(f.log, Consumption{At: time.Now(), Workspace: workspace, Tokens: r.used})
	f.mu.Unlock()
	time.Sleep(r.duration)
	res.Settle(r.used)
}

// idealRefusals is how many of the requests one exact bucket in one place
// would refuse, that knows each answer's length beforehand.
func idealRefusals(l load, limit Limit, d time.Duration) (refused, sent int) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	start := time.Unix(0, 0)
	b := newBucket(limit, start, true)
	var at time.Duration
	for {
		at += time.Duration(rnd.ExpFloat64() * meanUsed / l.tokens * float64(time.Second))
		if at >= d {
			return refused, sent
		}
		_ = rnd.IntN(len(l.hosts))
		r := l.draw(rnd, at)
		b.advance(start.Add(at))
		sent++
		if b.level/micro < r.used {
			refused++
			continue
		}
		b.take(r.used)
	}
}
