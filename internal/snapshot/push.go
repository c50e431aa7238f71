package snapshot

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/pkg/errors"
)

// Times of an acceptance.
const (
	// pushWindow bounds the time in which acknowledgements of one change are
	// counted. A host that starts vouches only later than this.
	pushWindow = 2 * time.Second
	// pushRetry is the pause between two attempts to reach voters.
	pushRetry = 150 * time.Millisecond
	// settleTimeout bounds how long a lost answer of the store is read back,
	// whatever becomes of the operator's connection.
	settleTimeout = 10 * time.Second
)

// Outcome is what became of a change.
type Outcome struct {
	// Revision is the change's revision, or the current one when Changed is
	// false.
	Revision resource.Revision
	// Changed is false when the edit changed nothing.
	Changed bool
	// Accepted is true when a majority of the voters holds the change. One
	// that is not accepted yet is in the store and will not be undone.
	Accepted bool
}

// Change appends a change to the log, takes it over and pushes it to the
// voters. Errors are those of Log.Append; after an error other than
// ErrUnknown nothing was changed. The end of ctx does not interrupt the
// change.
func (h *Holder) Change(ctx context.Context, edit Edit) (Outcome, error) {
	return h.change(context.WithoutCancel(ctx), edit)
}

func (h *Holder) change(ctx context.Context, edit Edit) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	s, revision, err := h.o.Log.Append(ctx, h.Current(), edit)
	if err != nil {
		if ctx.Err() != nil && !errors.Is(err, backing.ErrUnknown) {
			err = errors.Wrap(backing.ErrUnavailable, err.Error())
		}
		return Outcome{}, err
	}
	h.install(s)
	if revision == 0 {
		return Outcome{Revision: s.View.revision}, nil
	}
	accepted := h.push(ctx, revision)
	return Outcome{Revision: revision, Changed: true, Accepted: accepted}, nil
}

// push brings the view to the voters and says whether a majority holds the
// revision. Only acknowledgements within pushWindow count.
func (h *Holder) push(ctx context.Context, revision resource.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, pushWindow)
	defer cancel()
	begin := h.o.Clock.now()
	voters := h.Current().Voters()
	held := map[string]bool{h.o.Host: true}
	for {
		missing := withoutHeld(voters.All(), held)
		b := newBallot()
		h.ask(ctx, b, missing, h.pushPart(revision))
		for host, r := range b.held {
			held[host] = held[host] || r >= revision
		}
		late := begin.age(h.o.Clock.now()) > pushWindow
		if h.accepts(voters, held) && !late {
			h.noteAccepted(revision)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pushRetry):
		}
	}
}

// accepts says whether the hosts that hold a change make it accepted. Without
// voters the store alone does.
func (h *Holder) accepts(voters VoterList, held map[string]bool) bool {
	has := func(host string) bool { return held[host] }
	switch {
	case h.flaws.acceptAtCommit:
		return true
	case len(voters.Hosts) > 0:
		return voters.Majority(has)
	case len(voters.Previous) > 0:
		return majorityOf(voters.Previous, has)
	default:
		return true
	}
}

func withoutHeld(hosts []string, held map[string]bool) []string {
	var missing []string
	for _, host := range hosts {
		if !held[host] {
			missing = append(missing, host)
		}
	}
	return missing
}

// pushPart holds the change, when it fits a message.
func (h *Holder) pushPart(revision resource.Revision) *wire.ConfigPart {
	part := &wire.ConfigPart{Revision: int64(revision), FreshAgeUs: -1, WantAfter: wantNothing, Push: true}
	h.mu.Lock()
	defer h.mu.Unlock()
	list, ok := h.recent.after(revision - 1)
	if ok && len(list) > 0 && len(list[0].value) <= maxPartBytes {
		part.Changes = [][]byte{list[0].value}
	}
	return part
}
