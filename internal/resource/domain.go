package resource

// DomainSpec is a failure domain.
type DomainSpec struct {
	Region string `json:"region"`
	// Distance is the round-trip time to other domains in microseconds, keyed by
	// domain name.
	Distance map[string]int64 `json:"distance_us,omitempty"`
}
