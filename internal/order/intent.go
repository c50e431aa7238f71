package order

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// State is how far an order is.
type State string

// The states of an order.
const (
	// StateIntended: the engine may or may not have received it.
	StateIntended State = "intended"
	// StateDone: the engine has done it.
	StateDone State = "done"
	// StateRefused: the engine has not done it and never will.
	StateRefused State = "refused"
)

// Intent is the record of an endpoint's last order.
type Intent struct {
	// Fence is the fencing number of the holder that wrote the record.
	Fence int64 `json:"fence"`
	// Piece is the control work that the holder holds.
	Piece string `json:"piece"`
	// Number counts the endpoint's orders.
	Number int64 `json:"number"`
	// Order is the last order; its ID names endpoint and number.
	Order   backing.Order `json:"order"`
	State   State         `json:"state"`
	Message string        `json:"message,omitempty"`
	Since   time.Time     `json:"since"`
}

// Key is the store's key of an endpoint's record.
func Key(endpoint string) string { return "control/order/" + endpoint }
