package host

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// judgeInterval is the time between reviews of the evidence on segments, apart from those
// that new evidence triggers.
const judgeInterval = time.Second

// judgeSuspects reviews the evidence on segments until ctx is done.
func (h *Host) judgeSuspects(ctx context.Context) {
	for backing.Pause(ctx, judgeInterval) {
		h.suspects.Judge(time.Now())
	}
}
