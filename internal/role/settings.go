package role

import "time"

// Settings bound the decisions for one pool in one domain.
type Settings struct {
	// Floor is the least number of engines of each role.
	Floor int
	// StaleReport is the age past which a report is not decided on.
	StaleReport time.Duration
	// HalfLife is the age at which measured demand counts half.
	HalfLife time.Duration
	// Persist is how long a change must have paid before it is made.
	Persist time.Duration
	// Cooldown is the least time between two changes.
	Cooldown time.Duration
	// ChangeTime is how long a change takes an engine away.
	ChangeTime time.Duration
	// Horizon is how long a gain is expected to last.
	Horizon time.Duration
	// BusyAt is the utilisation under which no change is worth making, from
	// 0 to 1; MinGain the least utilisation that a change must take away.
	BusyAt, MinGain float64
	// BacklogTime is the time in which waiting work should be done.
	BacklogTime time.Duration
}

// DefaultSettings are the bounds for engines that change in a few seconds.
func DefaultSettings() Settings {
	return Settings{
		Floor:       1,
		StaleReport: 5 * time.Second,
		HalfLife:    10 * time.Second,
		Persist:     15 * time.Second,
		Cooldown:    time.Minute,
		ChangeTime:  10 * time.Second,
		Horizon:     10 * time.Minute,
		BusyAt:      0.5,
		MinGain:     0.1,
		BacklogTime: 5 * time.Second,
	}
}

// Reactive returns settings without hysteresis: every imbalance is acted on at
// once. It is a baseline for measurements.
func (s Settings) Reactive() Settings {
	s.Persist = 0
	s.Cooldown = 0
	s.Horizon = 365 * 24 * time.Hour
	s.BusyAt = 0
	s.MinGain = 0
	return s
}
