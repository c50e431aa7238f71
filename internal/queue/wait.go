package queue

import "time"

// PredictWait predicts how long the item would wait for admission, from the work
// that would be admitted first and the endpoints' throughput.
func (s *Scheduler) PredictWait(i *Item) time.Duration {
	itemLane := s.laneFor(i)
	var earlierLanes work
	for _, l := range s.lanes {
		if l == itemLane {
			break
		}
		earlierLanes.add(work{l.prefillTokens, l.outputTokens})
	}
	ownLane := itemLane.workAhead(i)
	ahead := ownLane
	ahead.add(earlierLanes)
	wait := s.processingTime(ahead)
	if itemLane.share > 0 {
		byShare := time.Duration(float64(s.processingTime(ownLane)) / itemLane.share)
		wait = min(wait, byShare)
	}
	return wait
}

// work is an amount of work, in tokens.
type work struct {
	prefill, output int64
}

func (w *work) add(other work) {
	w.prefill += other.prefill
	w.output += other.output
}

// workAhead returns the work in the lane that is admitted before the item: all of
// it, or at most the work of the item's workspace, including the item, for each
// workspace in the lane.
func (l *lane) workAhead(i *Item) work {
	all := work{l.prefillTokens, l.outputTokens}
	var own work
	flows := int64(len(l.flows))
	if f := l.flows[i.Workspace]; f != nil {
		own = work{f.prefillTokens, f.outputTokens}
	} else {
		flows++
	}
	own.add(work{i.prefillTokens(), i.OutputTokens})
	return work{
		prefill: min(all.prefill, own.prefill*flows),
		output:  min(all.output, own.output*flows),
	}
}

// processingTime returns the time in which the endpoints process the work.
func (s *Scheduler) processingTime(w work) time.Duration {
	return max(durationAt(w.prefill, s.capacity.PrefillRate), durationAt(w.output, s.capacity.DecodeRate))
}

func durationAt(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
