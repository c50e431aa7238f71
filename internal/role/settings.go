package role

import "time"

// Settings configures the decisions for one pool in one failure domain.
type Settings struct {
	// MinEngines is the minimum number of engines of each role.
	MinEngines int
	// StaleReport is the age above which a report blocks decisions.
	StaleReport time.Duration
	// HalfLife is the half-life of measured demand in the smoothed demand.
	HalfLife time.Duration
	// PersistFor is how long a change must have been worthwhile before it is made.
	PersistFor time.Duration
	// Cooldown is the minimum time between two changes.
	Cooldown time.Duration
	// ChangeTime is how long a change takes an engine out of service.
	ChangeTime time.Duration
	// Horizon is how long a gain is expected to last.
	Horizon time.Duration
	// MinUtilisation is the utilisation, from 0 to 1, below which no change is made.
	// MinGain is the reduction of utilisation that a change must exceed.
	MinUtilisation, MinGain float64
	// BacklogTime is the time within which queued prompts should be prefilled.
	BacklogTime time.Duration
}

// DefaultSettings returns settings for engines that change roles in a few seconds.
func DefaultSettings() Settings {
	return Settings{
		MinEngines:     1,
		StaleReport:    5 * time.Second,
		HalfLife:       10 * time.Second,
		PersistFor:     15 * time.Second,
		Cooldown:       time.Minute,
		ChangeTime:     10 * time.Second,
		Horizon:        10 * time.Minute,
		MinUtilisation: 0.5,
		MinGain:        0.1,
		BacklogTime:    5 * time.Second,
	}
}

// Reactive returns the settings without hysteresis: each imbalance leads to a change
// at once. It is a baseline for measurements.
func (s Settings) Reactive() Settings {
	s.PersistFor = 0
	s.Cooldown = 0
	s.Horizon = 365 * 24 * time.Hour
	s.MinUtilisation = 0
	s.MinGain = 0
	return s
}
