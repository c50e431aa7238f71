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

// Timeouts and intervals of watches.
const (
	// maxPollWait is the maximum duration of one long poll.
	maxPollWait = 30 * time.Second
	// eventHeartbeat is the interval between comments on an idle event stream.
	eventHeartbeat = 10 * time.Second
	// eventWriteTimeout is the timeout for writing one event to a client.
	eventWriteTimeout = 10 * time.Second
)

// WatchResponse is the response to a long poll and the data of an event. It
// contains the changes after the requested revision up to Revision.
type WatchResponse struct {
	Revision resource.Revision `json:"revision"`
	Changes  []snapshot.Change `json:"changes"`
}

// subscription holds the parameters of one watch.
type subscription struct {
	// after is the last revision that the client has received.
	after resource.Revision
	// kind selects changes of one kind, empty for all.
	kind resource.Kind
	// wait is the maximum duration of a long poll.
	wait time.Duration
}

var errCompacted = newAPIError(http.StatusGone, "compacted", "the changes after this revision are no longer held; list again and watch from its revision")

func (s *server) watch(w http.ResponseWriter, r *http.Request) error {
	select {
	case s.watchSlots <- struct{}{}:
		defer func() { <-s.watchSlots }()
	default:
		return newAPIError(http.StatusServiceUnavailable, "busy", "too many watches are waiting").withRetryAfter(busyRetryDelay)
	}
	sub, err := s.subscribe(r)
	if err != nil {
		return err
	}
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return s.stream(w, r, sub)
	}
	return s.longPoll(w, r, sub)
}

// subscribe parses the watch parameters of a request. Without a revision, the
// watch starts at the current one. The header Last-Event-ID takes precedence over
// the query parameter "after".
func (s *server) subscribe(r *http.Request) (subscription, error) {
	q := r.URL.Query()
	sub := subscription{after: s.options.Configuration.Current().Revision(), wait: maxPollWait}
	after := q.Get("after")
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		after = id
	}
	if after != "" {
		n, err := strconv.ParseInt(after, 10, 64)
		if err != nil || n < 0 {
			return sub, newAPIError(http.StatusBadRequest, "bad_revision", "after must be a whole number")
		}
		sub.after = resource.Revision(n)
	}
	if text := q.Get("kind"); text != "" {
		kind, err := resource.ParseKind(text)
		if err != nil {
			return sub, newAPIError(http.StatusBadRequest, "unknown_kind", err.Error())
		}
		sub.kind = kind
	}
	if text := q.Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return sub, newAPIError(http.StatusBadRequest, "bad_wait", "wait must be a duration such as 10s")
		}
		sub.wait = min(d, maxPollWait)
	}
	return sub, nil
}

// nextChanges returns the changes after sub.after and advances it. The returned
// channel is closed when there may be more changes. The error is errCompacted if
// the changes are no longer retained.
func (s *server) nextChanges(sub *subscription) (WatchResponse, <-chan struct{}, error) {
	changed := s.options.Configuration.Changed()
	changes, ok := s.options.Configuration.ChangesAfter(sub.after)
	if !ok {
		return WatchResponse{}, nil, errCompacted
	}
	response := WatchResponse{Revision: sub.after, Changes: []snapshot.Change{}}
	for _, c := range changes {
		response.Revision = c.Revision
		if c.Items = filterByKind(c.Items, sub.kind); len(c.Items) > 0 {
			c.WriteID, c.Voters = "", nil
			response.Changes = append(response.Changes, c)
		}
	}
	sub.after = response.Revision
	return response, changed, nil
}

// filterByKind returns the items of a kind, or all items if kind is empty.
func filterByKind(items []snapshot.Item, kind resource.Kind) []snapshot.Item {
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

// longPoll responds with the next changes, or with no changes after sub.wait.
func (s *server) longPoll(w http.ResponseWriter, r *http.Request, sub subscription) error {
	deadline := time.NewTimer(sub.wait)
	defer deadline.Stop()
	for {
		response, changed, err := s.nextChanges(&sub)
		if err != nil {
			return err
		}
		if len(response.Changes) > 0 {
			return s.writeJSON(w, http.StatusOK, response)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.writeJSON(w, http.StatusOK, response)
		case <-r.Context().Done(): // the host may be ending
			return s.writeJSON(w, http.StatusOK, response)
		}
	}
}

// stream sends server-sent events until the client disconnects or falls behind
// the changes that the host retains.
func (s *server) stream(w http.ResponseWriter, r *http.Request, sub subscription) error {
	response, changed, err := s.nextChanges(&sub)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	heartbeat := time.NewTicker(eventHeartbeat)
	defer heartbeat.Stop()
	for {
		if err := writeEvent(w, response); err != nil {
			return nil //nolint:nilerr // The client has disconnected.
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			return nil
		}
		if response, changed, err = s.nextChanges(&sub); err != nil {
			// The status line is already sent, so an event tells the client to
			// list again.
			_, _ = w.Write([]byte("event: compacted\ndata: {}\n\n"))
			return nil //nolint:nilerr // The stream ends even if the write fails.
		}
	}
}

// writeEvent sends one event, or a comment as heartbeat if there are no changes.
func writeEvent(w http.ResponseWriter, response WatchResponse) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(eventWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	text := ": heartbeat\n\n"
	if len(response.Changes) > 0 {
		data, err := json.Marshal(response)
		if err != nil {
			return err
		}
		text = "id: " + strconv.FormatInt(int64(response.Revision), 10) + "\nevent: change\ndata: " + string(data) + "\n\n"
	}
	if _, err := w.Write([]byte(text)); err != nil {
		return err
	}
	return control.Flush()
}
