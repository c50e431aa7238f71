package snapshot

import (
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/resource"
)

// confirmations counts the rounds by where they confirmed the view.
type confirmations struct {
	store, peer, majority, failed atomic.Int64
}

// State is what a dump shows of the configuration.
type State struct {
	Revision resource.Revision `json:"revision"`
	Fresh    bool              `json:"fresh"`
	// AgeMillis is the age of the last confirmation; negative for none.
	AgeMillis int64     `json:"age_ms"`
	Reader    bool      `json:"reader"`
	Voter     bool      `json:"voter"`
	Qualified bool      `json:"qualified"`
	StoreDown bool      `json:"store_down"`
	Upstreams []string  `json:"upstreams"`
	Voters    VoterList `json:"voters"`
	// ConfirmedAtStore, ConfirmedByPeer and ConfirmedByMajority count
	// confirmations since the start, and Failed those that failed.
	ConfirmedAtStore    int64 `json:"confirmed_at_store"`
	ConfirmedByPeer     int64 `json:"confirmed_by_peer"`
	ConfirmedByMajority int64 `json:"confirmed_by_majority"`
	Failed              int64 `json:"failed"`
	// Resources counts the resources by kind.
	Resources map[resource.Kind]int `json:"resources"`
}

// State returns what a dump shows.
func (h *Holder) State() State {
	v := h.Current()
	d := dutiesOf(h.o.Host, h.o.Domain, h.o.Directory(), v.voters)
	s := State{
		Revision: v.revision, AgeMillis: -1, Reader: d.reader, Voter: d.voter, Qualified: h.qualified.Load(),
		StoreDown: h.storeFailed.Load(), Upstreams: d.upstreams, Voters: v.voters,
		ConfirmedAtStore: h.counts.store.Load(), ConfirmedByPeer: h.counts.peer.Load(),
		ConfirmedByMajority: h.counts.majority.Load(), Failed: h.counts.failed.Load(),
		Resources: map[resource.Kind]int{},
	}
	if age, ok := h.Age(); ok {
		s.AgeMillis = age.Milliseconds()
		s.Fresh = age < FreshFor
	}
	for kind, t := range v.kinds {
		s.Resources[kind] = t.size
	}
	return s
}
