package leader

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
	// historyKey is the store key of the recent leaders, latest last.
	historyKey = "acacialink/holders"
	// maxHistory bounds the number of stored leaders. It exceeds the number of
	// leader changes that fit into Options.ReturnDelay.
	maxHistory = 8
)

// mustDelay reports whether host has to wait before it acts as the leader: it
// led before the most recent leader, which may have acted a moment ago.
func mustDelay(history []string, host string) bool {
	return len(history) > 0 && history[len(history)-1] != host && slices.Contains(history, host)
}

// recordLeader adds this host to the history of leaders and returns how long it
// must wait before it acts. Leadership must not alternate between hosts (A, B,
// A) faster than Options.ReturnDelay. If the store fails, the host waits that
// long.
func (r *Runner) recordLeader(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	delay, err := r.updateHistory(ctx)
	if err != nil {
		r.opts.Log.Warn("recording the leader failed", observe.FieldError, err)
		return r.opts.ReturnDelay
	}
	return delay
}

// updateHistory appends this host to the stored history and returns its delay.
func (r *Runner) updateHistory(ctx context.Context) (time.Duration, error) {
	kv, err := r.opts.Store.Get(ctx, historyKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return 0, errors.Wrap(err, "read leader history")
	}
	var history []string
	if err == nil {
		if err := json.Unmarshal(kv.Value, &history); err != nil {
			return 0, errors.Wrap(err, "decode leader history")
		}
	}
	if r.led && !slices.Contains(history, r.opts.Host) {
		history = slices.Insert(history, 0, r.opts.Host) // lost with the copy of a restored store
	}
	delay := time.Duration(0)
	if mustDelay(history, r.opts.Host) {
		delay = r.opts.ReturnDelay
	}
	history = append(history, r.opts.Host)
	value, err := json.Marshal(history[max(0, len(history)-maxHistory):])
	if err != nil {
		return 0, errors.Wrap(err, "encode leader history")
	}
	_, err = r.opts.Store.CompareAndSwap(ctx, historyKey, kv.Revision, value, 0)
	return delay, errors.Wrap(err, "write leader history")
}
