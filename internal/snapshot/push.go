package snapshot

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/resource"
	"github.com/acacialink/acacialink/internal/rpc/wire"
	"github.com/pkg/errors"
)

// Time limits of a change.
const (
	// pushWindow limits the time in which acknowledgements of one change are
	// counted. After its start, a host's confirmation counts in a majority only
	// once the host has read the head from the store, or has been confirmed as
	// of a moment at least pushWindow after the start.
	pushWindow = 2 * time.Second
	// pushRetryDelay is the delay between two attempts to reach voters.
	pushRetryDelay = 150 * time.Millisecond
	// changeTimeout limits a change, including the time to resolve a lost answer
	// of the store. It does not depend on the operator's connection.
	changeTimeout = 10 * time.Second
)

// Outcome is the result of a change.
type Outcome struct {
	// Revision is the revision of the change, or the current revision if
	// Changed is false.
	Revision resource.Revision
	// Changed reports whether the edit changed anything.
	Changed bool
	// Accepted reports whether a majority of the voters has the change. A change
	// that is not accepted yet is in the store and will not be undone.
	Accepted bool
}

// Change appends a change to the log, installs it on this host and pushes it to
// the voters. It returns the errors of Log.Append; after an error other than
// backing.ErrUnknown nothing was changed. Cancelling ctx does not interrupt the
// change.
func (r *Replica) Change(ctx context.Context, edit Edit) (Outcome, error) {
	return r.change(context.WithoutCancel(ctx), edit)
}

func (r *Replica) change(ctx context.Context, edit Edit) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	step, revision, err := r.options.Log.Append(ctx, r.Current(), edit)
	if err != nil {
		if ctx.Err() != nil && !errors.Is(err, backing.ErrUnknown) {
			err = errors.Wrap(backing.ErrUnavailable, err.Error())
		}
		return Outcome{}, err
	}
	r.install(step)
	if revision == 0 {
		return Outcome{Revision: step.View.revision}, nil
	}
	accepted := r.push(ctx, revision)
	return Outcome{Revision: revision, Changed: true, Accepted: accepted}, nil
}

// push sends the change at the revision to the voters and reports whether a
// majority has the revision. Only acknowledgements within pushWindow count.
func (r *Replica) push(ctx context.Context, revision resource.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, pushWindow)
	defer cancel()
	start := r.options.Clock.now()
	voters := r.Current().Voters()
	acknowledged := map[string]bool{r.options.Host: true}
	for {
		missing := missingHosts(voters.All(), acknowledged)
		answers := newQuorumAnswers()
		r.queryHosts(ctx, answers, missing, r.pushPart(revision))
		for host, rev := range answers.revisions {
			acknowledged[host] = acknowledged[host] || rev >= revision
		}
		expired := start.age(r.options.Clock.now()) > pushWindow
		if r.isAccepted(voters, acknowledged) && !expired {
			r.recordAcceptance(revision)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pushRetryDelay):
		}
	}
}

// isAccepted reports whether a change is accepted, given the hosts that
// acknowledged it. Without voters a change in the store is accepted.
func (r *Replica) isAccepted(voters VoterList, acknowledged map[string]bool) bool {
	hasAcknowledged := func(host string) bool { return acknowledged[host] }
	switch {
	case r.faults.acceptWithoutMajority:
		return true
	case len(voters.Hosts) > 0:
		return voters.Majority(hasAcknowledged)
	case len(voters.Previous) > 0:
		return majorityOf(voters.Previous, hasAcknowledged)
	default:
		return true
	}
}

func missingHosts(hosts []string, acknowledged map[string]bool) []string {
	var missing []string
	for _, host := range hosts {
		if !acknowledged[host] {
			missing = append(missing, host)
		}
	}
	return missing
}

// pushPart returns the message that pushes the revision. It includes the change
// if that fits into one message.
func (r *Replica) pushPart(revision resource.Revision) *wire.ConfigPart {
	part := &wire.ConfigPart{Revision: int64(revision), FreshAgeUs: -1, WantAfter: wantNoChanges, Push: true}
	r.mu.Lock()
	defer r.mu.Unlock()
	list, ok := r.recent.after(revision - 1)
	if ok && len(list) > 0 && len(list[0].value) <= maxMessageChangeBytes {
		part.Changes = [][]byte{list[0].value}
	}
	return part
}
