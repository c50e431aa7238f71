package quota

// usageRatio is the mean share of a reservation's tokens that is used. It is an
// exponential moving average once there are enough samples.
type usageRatio struct {
	mean  float64
	count int
}

// minUsageWeight is the lowest weight of the latest sample.
const minUsageWeight = 0.1

func (u *usageRatio) add(share float64) {
	u.count++
	u.mean += max(minUsageWeight, 1/float64(u.count+1)) * (share - u.mean)
}
