package settings

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration written as a string such as "500ms".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d as it is written in settings.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }
