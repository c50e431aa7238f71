package snapshot

import (
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// HandleExchange applies the configuration part of a peer's message and returns
// the answer.
func (h *Replica) HandleExchange(part *wire.ConfigPart) *wire.ConfigPart {
	if part.GetPush() {
		h.applyPush(part)
	}
	answer := h.localStatus()
	if part.GetWantPage() > 0 {
		h.addPage(part, answer)
		return answer
	}
	if after := part.GetWantAfter(); after >= 0 && after < answer.GetRevision() {
		h.addChanges(resource.Revision(after), answer)
	}
	return answer
}

// applyPush applies pushed changes. If they do not follow the host's revision,
// the host catches up in its next round, which starts at once.
func (h *Replica) applyPush(part *wire.ConfigPart) {
	if err := h.applyEncodedChanges(part.GetChanges()); err != nil {
		h.options.Logger.Debug("applying pushed changes failed", "error", err.Error())
	}
	if int64(h.Current().revision) < part.GetRevision() {
		h.triggerRound()
	}
}

// localStatus returns the host's revision, the age of its confirmation, and its
// own confirmation if that counts in a majority. It reads the confirmation
// before the view, so that the view is at least as late as the confirmation.
func (h *Replica) localStatus() *wire.ConfigPart {
	confirmed := h.confirmed.Load()
	qualified := h.qualified.Load() || h.faults.skipQualification
	v := h.current.Load()
	answer := &wire.ConfigPart{Revision: int64(v.revision), FreshAgeUs: -1, WantAfter: wantNoChanges}
	if confirmed != nil {
		age := confirmed.age(h.options.Clock.now())
		if age < FreshFor {
			answer.FreshAgeUs = ceilMicros(age)
		}
	}
	if qualified && v.voters.Contains(h.options.Host) {
		answer.Vouches = []*wire.Vouch{{Member: h.options.Host, Revision: int64(v.revision)}}
	}
	return answer
}

// ceilMicros rounds an age up to microseconds, so that forwarding never makes a
// confirmation appear younger.
func ceilMicros(d time.Duration) int64 {
	return int64((max(0, d) + time.Microsecond - 1) / time.Microsecond)
}

// addChanges adds the changes later than a revision, as many as fit into one
// message. If they are not buffered or the first is too large, it offers pages
// instead.
func (h *Replica) addChanges(after resource.Revision, answer *wire.ConfigPart) {
	h.mu.Lock()
	list, ok := h.recent.after(after)
	h.mu.Unlock()
	if !ok || (len(list) > 0 && len(list[0].value) > maxMessageChangeBytes) {
		answer.PageCount = 1
		return
	}
	bytes := 0
	for _, e := range list {
		bytes += len(e.value)
		if bytes > maxMessageChangeBytes {
			break
		}
		answer.Changes = append(answer.Changes, e.value)
	}
}

// addPage adds the requested page of a snapshot.
func (h *Replica) addPage(part, answer *wire.ConfigPart) {
	revision, pages, err := h.pages.get(resource.Revision(part.GetPageRevision()), h.Current)
	if err != nil {
		h.options.Logger.Error("encoding snapshot failed", "error", err.Error())
		return
	}
	answer.PageRevision = int64(revision)
	answer.PageCount = int32(len(pages)) //nolint:gosec // maxPages bounds it.
	index := int(part.GetWantPage()) - 1
	if index < len(pages) {
		answer.Pages = [][]byte{pages[index]}
	}
}
