package opsapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/snapshot"
)

// Times of a watch.
const (
	// maxPollWait bounds one long poll.
	maxPollWait = 30 * time.Second
	// eventHeartbeat is the time between comments on an idle event stream.
	eventHeartbeat = 10 * time.Second
	// eventWriteTimeout bounds writing one event to a watcher.
	eventWriteTimeout = 10 * time.Second
)

// WatchAnswer is what a long poll answers and an event carries: the changes
// after the revision asked for, up to Revision.
type WatchAnswer struct {
	Revision resource.Revision `json:"revision"`
	Changes  []snapshot.Change `json:"changes"`
}

// subscription is what one watcher asked for.
type subscription struct {
	after resource.Revision
	kind  resource.Kind
	wait  time.Duration
}

var errCompacted = refuse(http.StatusGone, "compacted", "the changes after this revision are no longer held; list again and watch from its revision")

func (s *server) watch(w http.ResponseWriter, r *http.Request) error {
	select {
	case s.watchers <- struct{}{}:
		defer func() { <-s.watchers }()
	default:
		return refuse(http.StatusServiceUnavailable, "busy", "too many watches are waiting").after(retrySoon)
	}
	sub, err := s.subscribe(r)
	if err != nil {
		return err
	}
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return s.stream(w, r, sub)
	}
	return s.poll(w, r, sub)
}

// subscribe reads the query. Without a revision the watch begins now.
func (s *server) subscribe(r *http.Request) (subscription, error) {
	q := r.URL.Query()
	sub := subscription{after: s.o.Configuration.Current().Revision(), wait: maxPollWait}
	after := q.Get("after")
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		after = id
	}
	if after != "" {
		n, err := strconv.ParseInt(after, 10, 64)
		if err != nil || n < 0 {
			return sub, refuse(http.StatusBadRequest, "bad_revision", "after must be a whole number")
		}
		sub.after = resource.Revision(n)
	}
	if text := q.Get("kind"); text != "" {
		kind, err := resource.ParseKind(text)
		if err != nil {
			return sub, refuse(http.StatusBadRequest, "unknown_kind", err.Error())
		}
		sub.kind = kind
	}
	if text := q.Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return sub, refuse(http.StatusBadRequest, "bad_wait", "wait must be a duration such as 10s")
		}
		sub.wait = min(d, maxPollWait)
	}
	return sub, nil
}

// next returns the changes that the subscription has not seen, and a channel
// that is closed when there may be more.
func (s *server) next(sub *subscription) (WatchAnswer, <-chan struct{}, error) {
	changed := s.o.Configuration.Changed()
	changes, ok := s.o.Configuration.ChangesAfter(sub.after)
	if !ok {
		return WatchAnswer{}, nil, errCompacted
	}
	answer := WatchAnswer{Revision: sub.after, Changes: []snapshot.Change{}}
	for _, c := range changes {
		answer.Revision = c.Revision
		if c.Items = ofKind(c.Items, sub.kind); len(c.Items) > 0 {
			c.Mark, c.Voters = "", nil
			answer.Changes = append(answer.Changes, c)
		}
	}
	sub.after = answer.Revision
	return answer, changed, nil
}

func ofKind(items []snapshot.Item, kind resource.Kind) []snapshot.Item {
	if kind == "" {
		return items
	}
	var list []snapshot.Item
	for _, item := range items {
		if item.Kind == kind {
			list = append(list, item)
		}
	}
	return list
}

func (s *server) poll(w http.ResponseWriter, r *http.Request, sub subscription) error {
	deadline := time.NewTimer(sub.wait)
	defer deadline.Stop()
	for {
		answer, changed, err := s.next(&sub)
		if err != nil {
			return err
		}
		if len(answer.Changes) > 0 {
			return s.writeJSON(w, http.StatusOK, answer)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.writeJSON(w, http.StatusOK, answer)
		case <-r.Context().Done():
			return nil
		}
	}
}

// stream sends server-sent events until the watcher goes or lags behind what
// the host holds.
func (s *server) stream(w http.ResponseWriter, r *http.Request, sub subscription) error {
	answer, changed, err := s.next(&sub)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	heartbeat := time.NewTicker(eventHeartbeat)
	defer heartbeat.Stop()
	for {
		if err := writeEvent(w, answer); err != nil {
			return nil //nolint:nilerr // The watcher is gone.
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			return nil
		}
		if answer, changed, err = s.next(&sub); err != nil {
			// The status line is sent: an event tells the watcher to list again.
			_, _ = w.Write([]byte("event: compacted\ndata: {}\n\n"))
			return nil //nolint:nilerr // The stream ends either way.
		}
	}
}

// writeEvent sends one event, or a comment when there is no change to tell.
func writeEvent(w http.ResponseWriter, answer WatchAnswer) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(eventWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	text := ": heartbeat\n\n"
	if len(answer.Changes) > 0 {
		data, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		text = "id: " + strconv.FormatInt(int64(answer.Revision), 10) + "\nevent: change\ndata: " + string(data) + "\n\n"
	}
	if _, err := w.Write([]byte(text)); err != nil {
		return err
	}
	return control.Flush()
}
