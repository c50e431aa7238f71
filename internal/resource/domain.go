package resource

// DomainSpec is a failure domain.
type DomainSpec struct {
	Region string `json:"region"`
	// Distance holds the round-trip time in microseconds to other domains.
	Distance map[string]int64 `json:"distance_us,omitempty"`
}
