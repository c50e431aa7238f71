package snapshot

import (
	"time"

	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// HandleExchange answers a peer's part of an exchange.
func (h *Holder) HandleExchange(part *wire.ConfigPart) *wire.ConfigPart {
	if part.GetPush() {
		h.takePush(part)
	}
	answer := h.statement()
	if part.GetWantPage() > 0 {
		h.addPage(part, answer)
		return answer
	}
	if want := part.GetWantAfter(); want >= 0 && want < answer.GetRevision() {
		h.addChanges(resource.Revision(want), answer)
	}
	return answer
}

// takePush holds pushed changes. When they don't follow what the host has, the
// host catches up in its next round.
func (h *Holder) takePush(part *wire.ConfigPart) {
	if err := h.takeChanges(part.GetChanges()); err != nil {
		h.o.Logger.Debug("push not applied", "error", err.Error())
	}
	if int64(h.Current().revision) < part.GetRevision() {
		h.nudge()
	}
}

// statement says what the host holds, how fresh it is, and whether its word
// counts in a majority. The confirmation is read before the view, so that the
// view holds at least what the confirmation speaks of.
func (h *Holder) statement() *wire.ConfigPart {
	confirmed := h.confirmed.Load()
	qualified := h.qualified.Load() || h.flaws.vouchAtOnce
	v := h.current.Load()
	answer := &wire.ConfigPart{Revision: int64(v.revision), FreshAgeUs: -1, WantAfter: wantNothing}
	if confirmed != nil {
		age := confirmed.age(h.o.Clock.now())
		if age < FreshFor {
			answer.FreshAgeUs = ceilMicros(age)
		}
	}
	if qualified && v.voters.Has(h.o.Host) {
		answer.Vouches = []*wire.Vouch{{Member: h.o.Host, Revision: int64(v.revision)}}
	}
	return answer
}

// ceilMicros rounds an age up, so that no hop makes it younger.
func ceilMicros(d time.Duration) int64 {
	return int64((max(0, d) + time.Microsecond - 1) / time.Microsecond)
}

// addChanges adds as many changes as one message holds, or offers pages.
func (h *Holder) addChanges(after resource.Revision, answer *wire.ConfigPart) {
	h.mu.Lock()
	list, ok := h.recent.after(after)
	h.mu.Unlock()
	if !ok || (len(list) > 0 && len(list[0].value) > maxPartBytes) {
		answer.PageCount = 1
		return
	}
	bytes := 0
	for _, e := range list {
		bytes += len(e.value)
		if bytes > maxPartBytes {
			break
		}
		answer.Changes = append(answer.Changes, e.value)
	}
}

func (h *Holder) addPage(part, answer *wire.ConfigPart) {
	revision, pages, err := h.pages.get(resource.Revision(part.GetPageRevision()), h.Current)
	if err != nil {
		h.o.Logger.Error("snapshot not encoded", "error", err.Error())
		return
	}
	answer.PageRevision = int64(revision)
	answer.PageCount = int32(len(pages)) //nolint:gosec // maxPages bounds it.
	index := int(part.GetWantPage()) - 1
	if index < len(pages) {
		answer.Pages = [][]byte{pages[index]}
	}
}
