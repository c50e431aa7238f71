package snapshot

import (
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// HandleExchange applies the configuration part of a peer's message and returns
// the answer.
func (r *Replica) HandleExchange(part *wire.ConfigPart) *wire.ConfigPart {
	if part.GetPush() {
		r.applyPush(part)
	}
	answer := r.localStatus()
	if part.GetWantPage() > 0 {
		r.addPage(part, answer)
		return answer
	}
	if after := part.GetWantAfter(); after >= 0 && after < answer.GetRevision() {
		r.addChanges(resource.Revision(after), answer)
	}
	return answer
}

// applyPush applies pushed changes. If they do not follow the host's revision,
// the host catches up in its next round, which starts at once.
func (r *Replica) applyPush(part *wire.ConfigPart) {
	if err := r.applyEncodedChanges(part.GetChanges()); err != nil {
		r.options.Logger.Debug("applying pushed changes failed", "error", err.Error())
	}
	if int64(r.Current().revision) < part.GetRevision() {
		r.triggerRound()
	}
}

// localStatus returns the host's revision, the age of its confirmation, and its
// own confirmation if that counts in a majority. It reads the confirmation
// before the view, so that the view is at least as late as the confirmation.
func (r *Replica) localStatus() *wire.ConfigPart {
	confirmed := r.confirmed.Load()
	qualified := r.qualified.Load() || r.faults.skipQualification
	v := r.current.Load()
	answer := &wire.ConfigPart{Revision: int64(v.revision), FreshAgeUs: -1, WantAfter: wantNoChanges}
	if confirmed != nil {
		age := confirmed.age(r.options.Clock.now())
		if age < FreshFor {
			answer.FreshAgeUs = ceilMicros(age)
		}
	}
	if qualified && v.voters.Contains(r.options.Host) {
		answer.Vouches = []*wire.Vouch{{Member: r.options.Host, Revision: int64(v.revision)}}
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
func (r *Replica) addChanges(after resource.Revision, answer *wire.ConfigPart) {
	r.mu.Lock()
	list, ok := r.recent.after(after)
	r.mu.Unlock()
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
func (r *Replica) addPage(part, answer *wire.ConfigPart) {
	revision, pages, err := r.pages.get(resource.Revision(part.GetPageRevision()), r.Current)
	if err != nil {
		r.options.Logger.Error("encoding snapshot failed", "error", err.Error())
		return
	}
	answer.PageRevision = int64(revision)
	answer.PageCount = int32(len(pages)) //nolint:gosec // maxPages bounds it.
	index := int(part.GetWantPage()) - 1
	if index < len(pages) {
		answer.Pages = [][]byte{pages[index]}
	}
}
