package duty

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
)

const (
	// turnsKey is where the store keeps who had the duties, the latest last.
	turnsKey = "acacialink/holders"
	// keptTurns bounds the holders that are remembered: more than can take
	// turns within the time in which none may come back.
	keptTurns = 8
)

// mustWait says whether host may not act at once after the others: it had the
// duties before the last holder, which may have acted a moment ago.
func mustWait(turns []string, host string) bool {
	return len(turns) > 0 && turns[len(turns)-1] != host && slices.Contains(turns, host)
}

// turn notes this host as the holder and returns how long it must wait before
// it acts. Holders must not act in turns, A, B, A, faster than Quiet. Without
// the store's word the host waits.
func (h *Holder) turn(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	wait, err := h.noteTurn(ctx)
	if err != nil {
		h.o.Log.Warn("holder of duties was not noted", observe.FieldError, err)
		return h.o.Quiet
	}
	return wait
}

func (h *Holder) noteTurn(ctx context.Context) (time.Duration, error) {
	kv, err := h.o.Store.Get(ctx, turnsKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return 0, errors.Wrap(err, "read the holders of duties")
	}
	var turns []string
	if err == nil {
		if err := json.Unmarshal(kv.Value, &turns); err != nil {
			return 0, errors.Wrap(err, "decode the holders of duties")
		}
	}
	wait := time.Duration(0)
	if mustWait(turns, h.o.Host) {
		wait = h.o.Quiet
	}
	turns = append(turns, h.o.Host)
	text, err := json.Marshal(turns[max(0, len(turns)-keptTurns):])
	if err != nil {
		return 0, errors.Wrap(err, "encode the holders of duties")
	}
	_, err = h.o.Store.CompareAndSwap(ctx, turnsKey, kv.Revision, text, 0)
	return wait, errors.Wrap(err, "write the holders of duties")
}
