package quota

import (
	"time"

	"github.com/acacialink/acacialink/internal/rpc/wire"
)

// The errors in answers to holders.
const (
	errorMoved            = "moved"
	errorUnknownAccount   = "unknown-account"
	errorUnknownWorkspace = "unknown-workspace"
	errorFull             = "full"
)

const (
	// maxHolders bounds the accounts of one bucket.
	maxHolders = 1024
	// extraShare is the part of the level, as a divisor, that one account may
	// be given beyond its need.
	extraShare = 8
)

// Limits returns the whole limit of a workspace, or false for an unknown one.
type Limits func(workspace string) (Limit, bool)

// Owner grants the tokens of the shards that a host owns. Time and messages
// go in, answers come out. It is not safe for concurrent use.
type Owner struct {
	settings  *Settings
	limits    Limits
	ownership [partCount]Ownership
	shards    [partCount][Shards]*ownedShard
}

// ownedShard is the state of one tenure.
type ownedShard struct {
	tenure Tenure
	// start is when unknown buckets began to fill.
	start   time.Time
	buckets map[string]*bucket
}

// NewOwner returns an owner that knows no buckets.
func NewOwner(s *Settings, l Limits, base, surplus Ownership) *Owner {
	return &Owner{settings: s, limits: l, ownership: [partCount]Ownership{base, surplus}}
}

// Handle answers one request of a holder, which is named by host and
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
	g, problem := b.open(holder, r)
	if problem != "" {
		answer.Error = problem
		return answer
	}
	o.settle(now, b, holder, g, r, answer)
	return answer
}

// settle takes the holder's totals, grants what it wants and fills the answer.
func (o *Owner) settle(now time.Time, b *bucket, holder string, g *grant, r *wire.QuotaRequest, answer *wire.QuotaGrant) {
	returned, ok := g.report(r)
	if !ok {
		answer.Error = errorUnknownAccount
		return
	}
	b.level = min(b.room(), b.level+returned*micro)
	if r.GetClose() {
		delete(b.grants, holder)
		return
	}
	// What the holder has not heard of yet serves its want first.
	want := max(0, r.GetWantTokens()-(g.granted-r.GetReceivedTokens()))
	got := b.take(want)
	extra := int64(0)
	if got == want {
		extra = b.take(min(r.GetExtraTokens(), b.level/micro/extraShare))
	}
	g.granted += got + extra
	if expires := now.Add(o.settings.GrantTTL); expires.After(g.expires) {
		g.expires = expires
	}
	answer.GrantedTokens = g.granted
	answer.ExpiresUs = o.settings.GrantTTL.Microseconds()
	answer.LevelTokens = b.level / micro
	answer.ReclaimTokens = b.reclaim(want - got)
}

// open returns the account that the request names, new if it can be.
func (b *bucket) open(holder string, r *wire.QuotaRequest) (*grant, string) {
	g := b.grants[holder]
	if g != nil && g.account == r.GetAccount() {
		return g, ""
	}
	used := r.GetReceivedTokens() > 0 || r.GetSpentTokens() > 0 || r.GetReturnedTokens() > 0
	if used || (g != nil && r.GetAccount() < g.account) {
		return nil, errorUnknownAccount
	}
	if g == nil && len(b.grants) >= maxHolders {
		return nil, errorFull
	}
	// The holder has dropped an older account: what it held counts as spent.
	g = &grant{account: r.GetAccount()}
	b.grants[holder] = g
	return g, ""
}

// bucket returns the workspace's bucket, advanced to now.
func (o *Owner) bucket(now time.Time, s *ownedShard, r *wire.QuotaRequest) (*bucket, string) {
	whole, ok := o.limits(r.GetWorkspace())
	if !ok {
		return nil, errorUnknownWorkspace
	}
	limit := whole.part(Part(r.GetPart()), o.settings.BasePercent)
	b := s.buckets[r.GetWorkspace()]
	if b == nil {
		if len(s.buckets) >= o.settings.MaxWorkspaces {
			return nil, errorFull
		}
		b = newBucket(limit, s.start, s.tenure.Fresh)
		s.buckets[r.GetWorkspace()] = b
	}
	b.advance(now)
	b.setLimit(limit)
	return b, ""
}

// shard returns the state of an owned shard, or nil when the host does not
// own it at this moment. The state outlives a gap in the same tenure, since
// nobody else had the shard meanwhile. A new tenure begins with empty buckets
// that fill once all grants of the owner before it have expired.
func (o *Owner) shard(now time.Time, p Part, shard int) *ownedShard {
	tenure, ok := o.ownership[p].Owned(shard)
	if !ok {
		return nil
	}
	s := o.shards[p][shard]
	if s != nil && s.tenure.Fence == tenure.Fence {
		return s
	}
	tenure.Fresh = tenure.Fresh && s == nil
	s = &ownedShard{tenure: tenure, start: now, buckets: make(map[string]*bucket)}
	if !tenure.Fresh {
		s.start = now.Add(o.settings.takeoverWait())
	}
	o.shards[p][shard] = s
	return s
}

// Sweep notices new tenures and drops buckets that are full and idle.
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
		if b.full() {
			delete(s.buckets, workspace)
		}
	}
}

// Buckets is the number of buckets that are kept.
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
