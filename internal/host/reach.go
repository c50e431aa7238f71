package host

import (
	"log/slog"

	"github.com/acacialink/acacialink/internal/observe"
)

// reach logs the loss and the return of one dependency.
type reach struct {
	name string
	log  *slog.Logger
	lost bool
}

func (r *reach) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.log.Warn("dependency lost", "dependency", r.name, observe.FieldError, err)
	case err == nil && r.lost:
		r.lost = false
		r.log.Info("dependency regained", "dependency", r.name)
	}
}
