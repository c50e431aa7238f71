package backing

import "time"

// StoreCall is the JSON body of each call of the store over HTTP; a call
// uses the fields that it needs. The path names the call.
type StoreCall struct {
	// Key is the key, or the prefix for list and watch.
	Key    string        `json:"key,omitempty"`
	Expect Revision      `json:"expect,omitempty"`
	Value  []byte        `json:"value,omitempty"`
	Lease  LeaseID       `json:"lease,omitempty"`
	After  Revision      `json:"after,omitempty"`
	Wait   time.Duration `json:"wait_ns,omitempty"`
	TTL    time.Duration `json:"ttl_ns,omitempty"`
}

// StoreAnswer is the JSON body of a successful answer.
type StoreAnswer struct {
	Items    []KeyValue `json:"items,omitempty"`
	Events   []Event    `json:"events,omitempty"`
	Revision Revision   `json:"revision,omitempty"`
	Lease    Lease      `json:"lease,omitzero"`
}
