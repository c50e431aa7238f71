package snapshot

import (
	"sync/atomic"

	"github.com/acacialink/acacialink/internal/resource"
)

// confirmations counts the confirmations by their source, and the failed ones.
type confirmations struct {
	store, peer, majority, failed atomic.Int64
}

// State is the configuration's section of the state dump.
type State struct {
	Revision resource.Revision `json:"revision"`
	// Fresh reports whether the configuration may be used.
	Fresh bool `json:"fresh"`
	// AgeMillis is the age of the last confirmation in milliseconds; negative
	// if there is none.
	AgeMillis int64 `json:"age_ms"`
	// StoreReader reports whether the host confirms at the store.
	StoreReader bool `json:"reader"`
	// Voter reports whether the host is a voter.
	Voter bool `json:"voter"`
	// Qualified reports whether the host's confirmation counts in a majority.
	Qualified bool `json:"qualified"`
	// StoreDown reports whether the last store call failed.
	StoreDown bool `json:"store_down"`
	// Upstreams are the peers to confirm with, in order of preference.
	Upstreams []string  `json:"upstreams"`
	Voters    VoterList `json:"voters"`
	// ConfirmedAtStore counts the confirmations at the store. This and the
	// following three counters start with the process.
	ConfirmedAtStore int64 `json:"confirmed_at_store"`
	// ConfirmedByPeer counts the confirmations by a single peer.
	ConfirmedByPeer int64 `json:"confirmed_by_peer"`
	// ConfirmedByMajority counts the confirmations by a majority of the voters.
	ConfirmedByMajority int64 `json:"confirmed_by_majority"`
	// Failed counts the attempts to confirm that failed with an error.
	Failed int64 `json:"failed"`
	// Resources counts the resources by kind.
	Resources map[resource.Kind]int `json:"resources"`
}

// State returns the configuration's section of the state dump.
func (r *Replica) State() State {
	// The confirmation is loaded before the view, which can then only be newer.
	age, confirmed := r.ConfirmationAge()
	view := r.Current()
	role := hostRoleOf(r.options.Host, r.options.Domain, r.options.Directory(), view.voters)
	state := State{
		Revision: view.revision, AgeMillis: -1, StoreReader: role.storeReader, Voter: role.voter, Qualified: r.qualified.Load(),
		StoreDown: r.storeFailed.Load(), Upstreams: role.upstreams, Voters: view.voters,
		ConfirmedAtStore: r.counts.store.Load(), ConfirmedByPeer: r.counts.peer.Load(),
		ConfirmedByMajority: r.counts.majority.Load(), Failed: r.counts.failed.Load(),
		Resources: map[resource.Kind]int{},
	}
	if confirmed {
		state.AgeMillis = age.Milliseconds()
		state.Fresh = age < FreshFor
	}
	for kind, t := range view.kinds {
		state.Resources[kind] = t.size
	}
	return state
}
