package backing

import "time"

// StoreRequest is the JSON request body of every store operation over HTTP. The
// URL path names the operation; each one sets only the fields that it needs.
type StoreRequest struct {
	// Key is the key, or the prefix for list and watch.
	Key    string        `json:"key,omitempty"`
	Expect Revision      `json:"expect,omitempty"`
	Value  []byte        `json:"value,omitempty"`
	Lease  LeaseID       `json:"lease,omitempty"`
	After  Revision      `json:"after,omitempty"`
	Wait   time.Duration `json:"wait_ns,omitempty"`
	TTL    time.Duration `json:"ttl_ns,omitempty"`
}

// StoreResponse is the JSON body of a successful response.
type StoreResponse struct {
	Items    []KeyValue `json:"items,omitempty"`
	Events   []Event    `json:"events,omitempty"`
	Revision Revision   `json:"revision,omitempty"`
	Lease    Lease      `json:"lease,omitzero"`
}
