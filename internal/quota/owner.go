package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// Error codes in answers to holders.
const (
	errorMoved            = "moved"
	errorUnknownAccount   = "unknown-account"
	errorUnknownWorkspace = "unknown-workspace"
	errorFull             = "full"
)

const (
	// maxAccountsPerBucket bounds the open accounts of one bucket.
	maxAccountsPerBucket = 1024
	// extraLevelDivisor bounds the tokens granted to one account beyond its
	// request, to level/extraLevelDivisor.
	extraLevelDivisor = 8
)

// Limits returns the total limit of a workspace, or false if the workspace is
// unknown.
type Limits func(workspace string) (Limit, bool)

// Owner grants the tokens of the shards that a host owns. It does no I/O:
// callers pass in the time and the messages and receive the answers. It is not
// safe for concurrent use.
type Owner struct {
	settings  *Settings
	limits    Limits
	ownership [partCount]Ownership
	shards    [partCount][Shards]*ownedShard
}

// ownedShard is the state of one tenure.
type ownedShard struct {
	tenure Tenure
	// start is when buckets that are not in the map start to fill.
	start   time.Time
	buckets map[string]*bucket
}

// NewOwner returns an owner without buckets.
func NewOwner(s *Settings, l Limits, base, surplus Ownership) *Owner {
	return &Owner{settings: s, limits: l, ownership: [partCount]Ownership{base, surplus}}
}

// Handle answers one request of a holder, which is identified by host and
// incarnation.
func (o *Owner) Handle(now time.Time, holder string, r *wire.QuotaRequest) *wire.QuotaGrant {
	answer := &wire.QuotaGrant{
		Part: r.GetPart(), Account: r.GetAccount(), Fence: r.GetFence(),
	}
	if r.GetPart() >= partCount {
		answer.Error = errorMoved
		return answer
	}
	s := o.shard(now, Part(r.GetPart()), ShardOf(r.GetWorkspace()))
	if s == nil || (r.GetFence() != 0 && r.GetFence() != s.tenure.Fence) {
		answer.Error = errorMoved
		return answer
	}
	answer.Fence = s.tenure.Fence
	b, problem := o.bucket(now, s, r)
	if problem != "" {
		answer.Error = problem
		return answer
	}
	g, problem := b.openAccount(holder, r)
	if problem != "" {
		answer.Error = problem
		return answer
	}
	o.applyRequest(now, b, holder, g, r, answer)
	return answer
}

// applyRequest records the holder's totals, grants tokens for the request and
// fills in the answer.
func (o *Owner) applyRequest(now time.Time, b *bucket, holder string, g *grant, r *wire.QuotaRequest, answer *wire.QuotaGrant) {
	returned, ok := g.applyReport(r)
	if !ok {
		answer.Error = errorUnknownAccount
		return
	}
	b.level = min(b.maxLevel(), b.level+returned*microsPerToken)
	if r.GetClose() {
		delete(b.grants, holder)
		return
	}
	// Grants that the holder has not received yet count towards its request.
	requested := max(0, r.GetWantTokens()-(g.granted-r.GetReceivedTokens()))
	granted := b.withdraw(requested)
	extra := int64(0)
	if granted == requested {
		extra = b.withdraw(min(r.GetExtraTokens(), b.level/microsPerToken/extraLevelDivisor))
	}
	g.granted += granted + extra
	if expires := now.Add(o.settings.GrantTTL); expires.After(g.expires) {
		g.expires = expires
	}
	answer.GrantedTokens = g.granted
	answer.ExpiresUs = o.settings.GrantTTL.Microseconds()
	answer.LevelTokens = b.level / microsPerToken
	answer.ReclaimTokens = b.reclaim(requested - granted)
}

// openAccount returns the account that the request names, and opens it if it is
// new and can be opened. Otherwise it returns an error code.
func (b *bucket) openAccount(holder string, r *wire.QuotaRequest) (*grant, string) {
	g := b.grants[holder]
	if g != nil && g.account == r.GetAccount() {
		return g, ""
	}
	hasTotals := r.GetReceivedTokens() > 0 || r.GetSpentTokens() > 0 || r.GetReturnedTokens() > 0
	if hasTotals || (g != nil && r.GetAccount() < g.account) {
		return nil, errorUnknownAccount
	}
	if g == nil && len(b.grants) >= maxAccountsPerBucket {
		return nil, errorFull
	}
	// The holder has dropped its previous account, whose outstanding tokens
	// count as spent.
	g = &grant{account: r.GetAccount()}
	b.grants[holder] = g
	return g, ""
}

// bucket returns the workspace's bucket, advanced to now, or an error code.
func (o *Owner) bucket(now time.Time, s *ownedShard, r *wire.QuotaRequest) (*bucket, string) {
	total, ok := o.limits(r.GetWorkspace())
	if !ok {
		return nil, errorUnknownWorkspace
	}
	limit := total.part(Part(r.GetPart()), o.settings.BasePercent)
	b := s.buckets[r.GetWorkspace()]
	if b == nil {
		if len(s.buckets) >= o.settings.MaxWorkspaces {
			return nil, errorFull
		}
		b = newBucket(limit, s.start, s.tenure.FirstOwner)
		s.buckets[r.GetWorkspace()] = b
	}
	b.advance(now)
	b.setLimit(limit)
	return b, ""
}

// shard returns the state of an owned shard, or nil if the host does not own it
// at present. The state survives a gap within the same tenure, since no other
// host owned the shard in between. A new tenure starts with empty buckets,
// which fill once all grants of the previous owner have expired.
func (o *Owner) shard(now time.Time, p Part, shard int) *ownedShard {
	tenure, ok := o.ownership[p].Owned(shard)
	if !ok {
		return nil
	}
	s := o.shards[p][shard]
	if s != nil && s.tenure.Fence == tenure.Fence {
		return s
	}
	tenure.FirstOwner = tenure.FirstOwner && s == nil
	s = &ownedShard{tenure: tenure, start: now, buckets: make(map[string]*bucket)}
	if !tenure.FirstOwner {
		s.start = now.Add(o.settings.takeoverDelay())
	}
	o.shards[p][shard] = s
	return s
}

// Sweep registers new tenures and drops buckets that are full and idle.
func (o *Owner) Sweep(now time.Time) {
	for p := range o.shards {
		for i := range o.shards[p] {
			o.shard(now, Part(p), i)
			if s := o.shards[p][i]; s != nil {
				s.sweep(now)
			}
		}
	}
}

func (s *ownedShard) sweep(now time.Time) {
	for workspace, b := range s.buckets {
		b.advance(now)
		if b.discardable() {
			delete(s.buckets, workspace)
		}
	}
}

// Buckets returns the number of buckets in memory.
func (o *Owner) Buckets() int {
	n := 0
	for p := range o.shards {
		for _, s := range o.shards[p] {
			if s != nil {
				n += len(s.buckets)
			}
		}
	}
	return n
}
