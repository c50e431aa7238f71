package quota

// outcome is the mean share of a reservation that is really used. The latest
// outcomes weigh most once there are enough.
type outcome struct {
	mean  float64
	count int
}

// outcomeStep is the least weight of the latest outcome.
const outcomeStep = 0.1

func (o *outcome) add(share float64) {
	o.count++
	o.mean += max(outcomeStep, 1/float64(o.count+1)) * (share - o.mean)
}
