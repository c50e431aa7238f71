package host

import (
	"log/slog"

	"github.com/acacialink/acacialink/internal/observe"
)

// dependency logs transitions of one dependency between available and unavailable.
// It is not safe for concurrent use.
type dependency struct {
	name string
	log  *slog.Logger
	down bool
}

// record notes the result of one call; nil means that the dependency is available.
func (d *dependency) record(err error) {
	switch {
	case err != nil && !d.down:
		d.down = true
		d.log.Warn("dependency lost", "dependency", d.name, observe.FieldError, err)
	case err == nil && d.down:
		d.down = false
		d.log.Info("dependency regained", "dependency", d.name)
	}
}
