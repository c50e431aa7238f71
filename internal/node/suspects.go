package node

import (
	"context"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/evidence"
	"github.com/acacialink/acacialink/internal/member"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/peer"
	"github.com/acacialink/acacialink/internal/rpc/wire"
)

const (
	// evidenceInterval is the time between checks for evidence to send.
	evidenceInterval = 200 * time.Millisecond
	// evidenceTimeout bounds one message with evidence.
	evidenceTimeout = time.Second
)

// evidencePosition is what of this host's evidence an incarnation of a peer has received.
type evidencePosition struct {
	incarnation        string
	reports, survivals int64
}

// runSuspects reviews the evidence on parts of prompts and sends this host's own to all
// other entry hosts, until ctx ends. There is some only after engines have ended under
// requests.
func (e *Entry) runSuspects(ctx context.Context) {
	sent := make(map[string]evidencePosition)
	for backing.Pause(ctx, evidenceInterval) {
		e.suspects.Judge(time.Now())
		if e.suspects.Empty() {
			continue
		}
		for _, m := range e.members.Members(time.Now()) {
			if m.Name == e.settings.Name || m.State == member.Gone {
				continue
			}
			if sent[m.Name].incarnation != m.Incarnation {
				sent[m.Name] = evidencePosition{incarnation: m.Incarnation}
			}
			sent[m.Name] = e.sendEvidence(ctx, m.Name, sent[m.Name])
		}
	}
}

// keepEvidence keeps the evidence in the store, until ctx ends.
func (e *Entry) keepEvidence(ctx context.Context) {
	keeper := evidence.Keeper{Ledger: e.suspects, Store: e.store, Writes: e.leadsTrials, Now: time.Now, Log: e.log}
	keeper.Run(ctx)
}

// sendEvidence sends a peer the evidence that it lacks and returns its new position.
func (e *Entry) sendEvidence(ctx context.Context, name string, sent evidencePosition) evidencePosition {
	batch := e.suspects.OwnSince(time.Now(), sent.reports, sent.survivals)
	if len(batch.Reports.Records) == 0 && len(batch.Survivals.Records) == 0 {
		return sent
	}
	text, err := peer.EncodeEvidence(batch)
	if err != nil {
		e.log.Error("evidence cannot be encoded", observe.FieldError, err)
		return sent
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	message := &wire.PeerMessage{From: e.settings.Name, Incarnation: e.incarnation, Evidence: text}
	if _, err := e.directory.Exchange(ctx, name, message); err != nil {
		e.log.Debug("evidence was not sent", observe.FieldPeer, name, observe.FieldError, err)
		return sent
	}
	sent.reports, sent.survivals = batch.Reports.Next, batch.Survivals.Next
	return sent
}

// receiveEvidence applies another entry host's evidence.
func (e *Entry) receiveEvidence(message *wire.PeerMessage) {
	batch, err := peer.DecodeEvidence(message.Evidence)
	if err != nil {
		e.log.Warn("evidence cannot be decoded", observe.FieldPeer, message.From, observe.FieldError, err)
		return
	}
	e.suspects.Receive(time.Now(), message.From+"/"+message.Incarnation, batch, false)
}

// leadsTrials reports whether this host tries parts of prompts again that are held back:
// the first of the live hosts by name does.
func (e *Entry) leadsTrials() bool {
	for _, host := range e.directory.live() {
		if host.Name < e.settings.Name {
			return false
		}
	}
	return true
}
