package order

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// State is the progress of an order.
type State string

// States of an order.
const (
	// StateIntended: the engine may or may not have received the order.
	StateIntended State = "intended"
	// StateDone: the engine has carried out the order.
	StateDone State = "done"
	// StateRefused: the engine has not carried out the order and never will.
	StateRefused State = "refused"
)

// Intent is the stored record of an endpoint's last order.
type Intent struct {
	// Fence is the fencing token of the leader that wrote the record.
	Fence int64 `json:"fence"`
	// Shard is the name of the leader's shard of control work.
	Shard string `json:"piece"`
	// Number is the sequence number of the order at its endpoint.
	Number int64 `json:"number"`
	// Order is the last order. Its ID consists of endpoint and number.
	Order backing.Order `json:"order"`
	State State         `json:"state"`
	// Message is the reason for a refusal; empty in other states.
	Message string `json:"message,omitempty"`
	// Since is the time at which the order was first recorded, or at which its
	// outcome became known.
	Since time.Time `json:"since"`
}

// Key returns the store key of an endpoint's record.
func Key(endpoint string) string { return "control/order/" + endpoint }
