package queue

import "time"

// Wait predicts how long the item would wait for admission, from the work
// that is before it and the endpoints' speed.
func (c *Core) Wait(i *Item) time.Duration {
	lane := c.laneOf(i)
	var before work
	for _, l := range c.lanes {
		if l == lane {
			break
		}
		before.add(work{l.prefill, l.output})
	}
	own := lane.before(i)
	ahead := own
	ahead.add(before)
	wait := c.duration(ahead)
	if lane.share > 0 {
		byShare := time.Duration(float64(c.duration(own)) / lane.share)
		wait = min(wait, byShare)
	}
	return wait
}

// work is an amount of tokens.
type work struct {
	prefill, output int64
}

func (w *work) add(o work) {
	w.prefill += o.prefill
	w.output += o.output
}

// before is the work in the lane that is served before the item: all of it,
// or what the item's workspace has waiting once for each workspace.
func (l *lane) before(i *Item) work {
	all := work{l.prefill, l.output}
	var own work
	flows := int64(len(l.flows))
	if f := l.flows[i.Workspace]; f != nil {
		own = work{f.prefill, f.output}
	} else {
		flows++
	}
	own.add(work{i.prefill(), i.OutputTokens})
	return work{
		prefill: min(all.prefill, own.prefill*flows),
		output:  min(all.output, own.output*flows),
	}
}

// duration is how long the endpoints take for the work.
func (c *Core) duration(w work) time.Duration {
	return max(seconds(w.prefill, c.capacity.PrefillRate), seconds(w.output, c.capacity.DecodeRate))
}

func seconds(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
