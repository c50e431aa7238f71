package leader

import "time"

const (
	// demandWindow is the time over which the demand is averaged. demandMemory is how long the
	// highest of these averages counts: the demand comes in waves.
	demandWindow = 2 * time.Second
	demandMemory = 10 * time.Second
	// demandKnown is how long the demand is measured before it counts.
	demandKnown = 2 * time.Second
)

// demandMeter measures the prompt tokens a second that a service brings. It is not safe for
// concurrent use.
type demandMeter struct {
	samples []demandSample
	peaks   []demandSample
	// since is when the first average was taken, of those without a pause.
	since time.Time
}

type demandSample struct {
	at time.Time
	// value is the number of tokens so far, or an average of its growth.
	value float64
}

// observe records the tokens so far.
func (m *demandMeter) observe(now time.Time, tokens float64) {
	if n := len(m.samples); n > 0 && tokens < m.samples[n-1].value {
		m.samples = nil // counted anew
	}
	m.samples = append(m.samples, demandSample{now, tokens})
	for len(m.samples) > 1 && now.Sub(m.samples[1].at) >= demandWindow {
		m.samples = m.samples[1:]
	}
	if first := m.samples[0]; now.Sub(first.at) >= demandWindow && tokens > first.value {
		m.peaks = append(m.peaks, demandSample{now, (tokens - first.value) / now.Sub(first.at).Seconds()})
	}
	for len(m.peaks) > 0 && now.Sub(m.peaks[0].at) > demandMemory {
		m.peaks = m.peaks[1:]
	}
	if len(m.peaks) == 0 {
		m.since = now
	}
}

// demand returns the highest recent demand in tokens a second; false if it is not known.
func (m *demandMeter) demand() (float64, bool) {
	highest := 0.0
	for _, p := range m.peaks {
		highest = max(highest, p.value)
	}
	return highest, len(m.peaks) > 0 && m.peaks[len(m.peaks)-1].at.Sub(m.since) >= demandKnown
}

const (
	// Below lowUse of the prefill engines at the peaks of the demand there are too many of them:
	// streams would be quicker with more decode engines. Above highUse there are too few.
	// targetUse is then aimed at. The band between is wide, since an engine that changes its
	// stage does nothing meanwhile.
	lowUse, targetUse, highUse = 0.56, 0.62, 0.8
	// crowdedUse is the use of the decode engines' slots from which on streams slow each other
	// down noticeably.
	crowdedUse = 0.3
	// minPrefillShare is the least share of prefill engines.
	minPrefillShare = 0.3
	// shareStep is the least change of the share that is worth orders to engines.
	shareStep = 0.08
	// orderedShare is the share of the engines that may change their stage at once while they
	// have work.
	orderedShare = 0.125
)

// ShareFor returns the share of prefill engines for a demand, in engines that it keeps busy.
// before is the share so far. It is never above Balance.PrefillShare, and lowered only while
// streams are crowded on the decode engines: else they gain nothing by more of them.
func (b Balance) ShareFor(engines int, demand, before float64, crowded bool) float64 {
	use := demand / max(1, before*float64(engines))
	if use >= lowUse && use <= highUse || use < lowUse && !crowded || engines == 0 {
		return before
	}
	share := min(b.PrefillShare, max(minPrefillShare, demand/(targetUse*float64(engines))))
	if change := share - before; change < shareStep && change > -shareStep {
		return before
	}
	return share
}

// ordersAtOnce returns how many of the engines may change their stage at once while they have
// work.
func ordersAtOnce(engines int) int { return max(1, int(orderedShare*float64(engines))) }

// crowding remembers how many streams the decode engines of a service lately had at most. It is
// not safe for concurrent use.
type crowding struct{ peaks []demandSample }

// observe records the number of streams.
func (c *crowding) observe(now time.Time, streams int) {
	for len(c.peaks) > 0 && now.Sub(c.peaks[0].at) > demandMemory {
		c.peaks = c.peaks[1:]
	}
	c.peaks = append(c.peaks, demandSample{now, float64(streams)})
}

// crowded reports whether the streams at the peak take a part of the slots at which they slow
// each other down.
func (c *crowding) crowded(slots int) bool {
	highest := 0.0
	for _, p := range c.peaks {
		highest = max(highest, p.value)
	}
	return highest >= crowdedUse*float64(max(1, slots))
}
