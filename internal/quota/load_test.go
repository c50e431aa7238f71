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
	// tokens is the offered load, in used tokens per second.
	tokens float64
	// hosts are the numbers of the hosts that receive the requests.
	hosts []int
	seed  uint64
	// waves makes the load start and stop periodically. In every other wave the
	// answers are far shorter than reserved and end during the next wave, whose
	// answers are as long as reserved.
	waves bool
}

const (
	waveDuration   = 3 * time.Second
	wavePeriod     = 15 * time.Second
	waveLoadFactor = 5
)

// loadRequest is one request of a load.
type loadRequest struct {
	// prompt, max and used are the prompt length, the maximum output length and
	// the total of tokens used.
	prompt, max, used int64
	// queued is the delay before the request is sent. duration is the time from
	// sending to the end of the answer.
	queued, duration time.Duration
}

func (l *load) nextRequest(rnd *rand.Rand, at time.Duration) loadRequest {
	if l.waves && (at/wavePeriod)%2 == 0 {
		return loadRequest{prompt: 50, max: 950, used: 100, duration: wavePeriod + time.Second/2}
	}
	if l.waves {
		return loadRequest{prompt: 50, max: 250, used: 300, duration: time.Second}
	}
	prompt, maxOutput := 100+rnd.Int64N(400), 100+rnd.Int64N(400)
	output := 1 + rnd.Int64N(maxOutput)
	var queued time.Duration
	if rnd.IntN(4) == 0 {
		queued = time.Duration(rnd.Int64N(int64(2 * time.Second)))
	}
	return loadRequest{
		prompt: prompt, max: maxOutput, used: prompt + output, queued: queued,
		duration: time.Duration(output) * 30 * time.Millisecond,
	}
}

// meanUsed is the mean of loadRequest.used, in tokens.
const meanUsed = 300 + 150

// offer sends the load for the given duration.
func (f *fleet) offer(l load, duration time.Duration) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	start := time.Now()
	end := start.Add(duration)
	if l.waves {
		l.tokens *= waveLoadFactor
	}
	for {
		gap := rnd.ExpFloat64() * meanUsed / l.tokens
		time.Sleep(time.Duration(gap * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		if l.waves && time.Since(start)%wavePeriod > waveDuration {
			continue
		}
		h := f.hosts[l.hosts[rnd.IntN(len(l.hosts))]]
		go f.send(l.workspace, h, l.nextRequest(rnd, time.Since(start)))
	}
}

// send reserves tokens for one request, starts it and settles it after the
// duration of its answer.
func (f *fleet) send(workspace string, h *fleetHost, r loadRequest) {
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

// idealRefusals returns how many requests a single exact bucket would refuse if
// it knew each answer's length in advance, and how many are sent.
func idealRefusals(l load, limit Limit, duration time.Duration) (refused, sent int) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	start := time.Unix(0, 0)
	b := newBucket(limit, start, true)
	var at time.Duration
	for {
		at += time.Duration(rnd.ExpFloat64() * meanUsed / l.tokens * float64(time.Second))
		if at >= duration {
			return refused, sent
		}
		_ = rnd.IntN(len(l.hosts))
		r := l.nextRequest(rnd, at)
		b.advance(start.Add(at))
		sent++
		if b.level/microsPerToken < r.used {
			refused++
			continue
		}
		b.withdraw(r.used)
	}
}
