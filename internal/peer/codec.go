package peer

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/endpoint"
	"github.com/acacialink/acacialink/internal/pace"
	"github.com/acacialink/acacialink/internal/peer/peerwire"
	"github.com/acacialink/acacialink/internal/placement"
)

// encoding implements drpc.Encoding for the messages between hosts.
type encoding struct{}

var errUnknownMessage = errors.New("unknown message type")

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	switch m := msg.(type) {
	case *Snapshot:
		return EncodeSnapshot(m)
	case *ReserveRequest:
		return proto.Marshal(m.toWire())
	case *ReserveResponse:
		return proto.Marshal(m.toWire())
	default:
		return nil, errUnknownMessage
	}
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	switch m := msg.(type) {
	case *Snapshot:
		return DecodeSnapshot(buf, m)
	case *ReserveRequest:
		var w peerwire.ReserveRequest
		if err := proto.Unmarshal(buf, &w); err != nil {
			return errors.Wrap(err, "decode reservations")
		}
		m.fromWire(&w)
	case *ReserveResponse:
		var w peerwire.ReserveResponse
		if err := proto.Unmarshal(buf, &w); err != nil {
			return errors.Wrap(err, "decode grants")
		}
		m.fromWire(&w)
	default:
		return errUnknownMessage
	}
	return nil
}

// nameTable assigns indexes to the names in a message.
type nameTable struct {
	names   []string
	indexes map[string]uint32
}

// index returns the index of a name, counted from 1; 0 for the empty name.
func (t *nameTable) index(name string) uint32 {
	if name == "" {
		return 0
	}
	if i, ok := t.indexes[name]; ok {
		return i
	}
	t.names = append(t.names, name)
	i := uint32(len(t.names)) //nolint:gosec // bounded by the size of a message
	t.indexes[name] = i
	return i
}

func (t *nameTable) amounts(values map[string]int64) []*peerwire.Amount {
	out := make([]*peerwire.Amount, 0, len(values))
	for name, value := range values {
		out = append(out, &peerwire.Amount{Name: t.index(name), Amount: value})
	}
	return out
}

// EncodeSnapshot returns the wire form of a snapshot.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	t := &nameTable{indexes: make(map[string]uint32)}
	w := &peerwire.Snapshot{
		Host: s.Host, Incarnation: s.Incarnation, UptimeMs: s.UptimeMillis, Sequence: s.Sequence, WallMs: s.WallMillis,
		Delegate: s.Delegate, Leader: s.Leader, LeaderHost: s.LeaderHost, Draining: s.Draining,
		Consumed: t.amounts(s.ConsumedTokens), WindowTokens: t.amounts(s.WindowTokens), Walls: t.amounts(s.Walls),
		WatchesStore: s.Versions.WatchesStore, ConfigVersion: s.Versions.Config.Version, ConfigAgeMs: s.Versions.Config.AgeMillis,
		EndpointsVersion: s.Versions.Endpoints.Version, EndpointsAgeMs: s.Versions.Endpoints.AgeMillis, CatalogVersion: s.Versions.CatalogVersion, CatalogRevision: int64(s.Versions.CatalogRevision),
		DispatchesFirst: s.Dispatches.First, DispatchesNext: s.Dispatches.Next, ChangesNext: s.ChangesNext,
		AfterDispatches: s.After.Dispatches, AfterChanges: s.After.Changes, AfterOf: s.AfterOf,
		AfterReports: s.After.Reports, AfterSurvivals: s.After.Survivals, Evidence: t.evidence(s.Evidence),
	}
	for _, member := range s.Members {
		w.Members = append(w.Members, t.index(member))
	}
	for engine, l := range s.Loads {
		w.Loads = append(w.Loads, int64(t.index(engine)), int64(l.PrefillTokens), int64(l.Streams), int64(l.KVTokens))
	}
	for engine, remaining := range s.StageChanges {
		w.StageChanges = append(w.StageChanges, &peerwire.Amount{Name: t.index(engine), Amount: remaining.Milliseconds()})
	}
	for engine, r := range s.Rates {
		w.Rates = append(w.Rates, &peerwire.StatedRate{Endpoint: t.index(engine), StartedAtMs: r.StartedAtMS, PerSecond: r.PerSecond, AgeMs: time.Since(r.At).Milliseconds()})
	}
	for id, d := range s.Departures {
		w.Departures = append(w.Departures, &peerwire.Departure{Endpoint: t.index(id), StartedAtMs: d.StartedAtMS, AgeMs: time.Since(d.At).Milliseconds()})
	}
	for id, l := range s.StatedLoads {
		w.StatedLoads = append(w.StatedLoads, &peerwire.StatedLoad{
			Endpoint: t.index(id), StartedAtMs: l.StartedAtMS, AgeMs: time.Since(l.At).Milliseconds(),
			Running: uint32(max(0, l.Running)), Waiting: uint32(max(0, l.Waiting)), Slots: uint32(max(0, l.Slots)), Slowness: float32(l.Slowness), //nolint:gosec // decoded from 32 bits
		})
	}
	for id, x := range s.Starts {
		w.Starts = append(w.Starts, &peerwire.Start{Endpoint: t.index(id), StartedAtMs: x.StartedAtMS, AgeMs: time.Since(x.At).Milliseconds()})
	}
	for _, e := range s.Evacuations {
		w.Evacuations = append(w.Evacuations, &peerwire.Evacuation{Domain: t.index(e.Domain), Revision: int64(e.Revision), Ended: e.Ended})
	}
	for _, d := range s.Dispatches.Records {
		w.Dispatches = append(w.Dispatches, &peerwire.Dispatch{
			Engine: t.index(d.Engine), Origin: t.index(d.Origin), Segments: d.Segments,
			ReadyInMs: uint32(max(0, d.ReadyIn.Milliseconds())), Tokens: d.Tokens, Answer: int32(d.Answer), //nolint:gosec // a predicted time is far below a month
		})
	}
	for _, c := range s.Changes {
		w.Changes = append(w.Changes, &peerwire.Change{Key: c.Key, Value: c.Value, Revision: int64(c.Revision), Deleted: c.Deleted})
	}
	for incarnation, windows := range s.Usage {
		for window, counts := range windows {
			w.Usage = append(w.Usage, &peerwire.Usage{Incarnation: t.index(incarnation), Window: window, Counts: t.amounts(counts)})
		}
	}
	w.Names = t.names
	buf, err := proto.Marshal(w)
	return buf, errors.Wrap(err, "encode a snapshot")
}

// nameList resolves the indexes in a message.
type nameList []string

// name returns the name with the index; false if the message has none.
func (l nameList) name(index uint32) (string, bool) {
	if index == 0 || int(index) > len(l) {
		return "", false
	}
	return l[index-1], true
}

// amounts returns the amounts by name; those without a name are left out.
func (l nameList) amounts(values []*peerwire.Amount) map[string]int64 {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]int64, len(values))
	for _, v := range values {
		if name, ok := l.name(v.GetName()); ok {
			out[name] = v.GetAmount()
		}
	}
	return out
}

// rates returns the stated rates by endpoint; those that cannot be are left out.
func (l nameList) rates(values []*peerwire.StatedRate) map[string]pace.Statement {
	if len(values) == 0 {
		return nil
	}
	now, out := time.Now(), make(map[string]pace.Statement, len(values))
	for _, v := range values {
		name, ok := l.name(v.GetEndpoint())
		if rate := v.GetPerSecond(); ok && (rate == 0 || rate >= pace.MinPerSecond && rate <= pace.MaxPerSecond) {
			out[name] = pace.Statement{StartedAtMS: v.GetStartedAtMs(), PerSecond: rate, At: now.Add(-ageOf(v.GetAgeMs()))}
		}
	}
	return out
}

// departures returns the endpoints that leave, by ID.
func (l nameList) departures(values []*peerwire.Departure) map[string]endpoint.Departure {
	if len(values) == 0 {
		return nil
	}
	now, out := time.Now(), make(map[string]endpoint.Departure, len(values))
	for _, v := range values {
		if id, ok := l.name(v.GetEndpoint()); ok {
			out[id] = endpoint.Departure{StartedAtMS: v.GetStartedAtMs(), At: now.Add(-ageOf(v.GetAgeMs()))}
		}
	}
	return out
}

// statedLoads returns what endpoints stated of their load, by ID; what makes no sense is left out.
func (l nameList) statedLoads(values []*peerwire.StatedLoad) map[string]endpoint.LoadReport {
	if len(values) == 0 {
		return nil
	}
	now, out := time.Now(), make(map[string]endpoint.LoadReport, len(values))
	for _, v := range values {
		slowness := float64(v.GetSlowness())
		if id, ok := l.name(v.GetEndpoint()); ok && slowness > 0 && !math.IsInf(slowness, 0) {
			out[id] = endpoint.LoadReport{
				StartedAtMS: v.GetStartedAtMs(), At: now.Add(-ageOf(v.GetAgeMs())),
				StatedLoad: endpoint.StatedLoad{Running: int(v.GetRunning()), Waiting: int(v.GetWaiting()), Slots: int(v.GetSlots()), Slowness: slowness},
			}
		}
	}
	return out
}

// starts returns the endpoints that have just started, by ID.
func (l nameList) starts(values []*peerwire.Start) map[string]endpoint.Start {
	if len(values) == 0 {
		return nil
	}
	now, out := time.Now(), make(map[string]endpoint.Start, len(values))
	for _, v := range values {
		if id, ok := l.name(v.GetEndpoint()); ok {
			out[id] = endpoint.Start{StartedAtMS: v.GetStartedAtMs(), At: now.Add(-ageOf(v.GetAgeMs()))}
		}
	}
	return out
}

// loadFields is the number of elements of a load in the wire form.
const loadFields = 4

// DecodeSnapshot decodes the wire form of a snapshot into s. Elements that refer to no
// name are left out.
func DecodeSnapshot(buf []byte, s *Snapshot) error {
	var w peerwire.Snapshot
	if err := proto.Unmarshal(buf, &w); err != nil {
		return errors.Wrap(err, "decode a snapshot")
	}
	names := nameList(w.GetNames())
	*s = Snapshot{
		Host: w.GetHost(), Incarnation: w.GetIncarnation(), UptimeMillis: w.GetUptimeMs(), Sequence: w.GetSequence(), WallMillis: w.GetWallMs(),
		Delegate: w.GetDelegate(), Leader: w.GetLeader(), LeaderHost: w.GetLeaderHost(), Draining: w.GetDraining(),
		ConsumedTokens: names.amounts(w.GetConsumed()), WindowTokens: names.amounts(w.GetWindowTokens()), Walls: names.amounts(w.GetWalls()),
		Versions: VersionReports{
			WatchesStore:   w.GetWatchesStore(),
			Config:         VersionReport{Version: w.GetConfigVersion(), AgeMillis: w.GetConfigAgeMs()},
			Endpoints:      VersionReport{Version: w.GetEndpointsVersion(), AgeMillis: w.GetEndpointsAgeMs()},
			CatalogVersion: w.GetCatalogVersion(), CatalogRevision: backing.Revision(w.GetCatalogRevision()),
		},
		Dispatches:  placement.DispatchBatch{First: w.GetDispatchesFirst(), Next: w.GetDispatchesNext()},
		ChangesNext: w.GetChangesNext(), AfterOf: w.GetAfterOf(),
		After:    UpdatePosition{Dispatches: w.GetAfterDispatches(), Changes: w.GetAfterChanges(), Reports: w.GetAfterReports(), Survivals: w.GetAfterSurvivals()},
		Evidence: names.evidence(w.GetEvidence()),
	}
	for _, index := range w.GetMembers() {
		if name, ok := names.name(index); ok {
			s.Members = append(s.Members, name)
		}
	}
	s.Loads = names.loads(w.GetLoads())
	if len(w.GetStageChanges()) > 0 {
		s.StageChanges = make(map[string]time.Duration, len(w.GetStageChanges()))
		for engine, ms := range names.amounts(w.GetStageChanges()) {
			s.StageChanges[engine] = time.Duration(ms) * time.Millisecond
		}
	}
	s.Rates = names.rates(w.GetRates())
	s.Departures = names.departures(w.GetDepartures())
	s.StatedLoads = names.statedLoads(w.GetStatedLoads())
	s.Starts = names.starts(w.GetStarts())
	for _, e := range w.GetEvacuations() {
		if domain, ok := names.name(e.GetDomain()); ok {
			s.Evacuations = append(s.Evacuations, endpoint.Evacuation{Domain: domain, Revision: backing.Revision(e.GetRevision()), Ended: e.GetEnded()})
		}
	}
	for _, d := range w.GetDispatches() {
		engine, _ := names.name(d.GetEngine())
		origin, _ := names.name(d.GetOrigin())
		s.Dispatches.Records = append(s.Dispatches.Records, placement.DispatchRecord{
			Engine: engine, Origin: origin, Segments: d.GetSegments(), ReadyIn: time.Duration(d.GetReadyInMs()) * time.Millisecond, Tokens: d.GetTokens(),
			Answer: pace.Answer(max(-1, min(1, d.GetAnswer()))),
		})
	}
	for _, c := range w.GetChanges() {
		s.Changes = append(s.Changes, Change{Key: c.GetKey(), Value: c.GetValue(), Revision: backing.Revision(c.GetRevision()), Deleted: c.GetDeleted()})
	}
	s.Usage = names.usage(w.GetUsage())
	return nil
}

// loads returns the loads by engine; those without a name and an incomplete last one
// are left out.
func (l nameList) loads(values []int64) map[string]placement.Load {
	out := make(map[string]placement.Load, len(values)/loadFields)
	for ; len(values) >= loadFields; values = values[loadFields:] {
		if values[0] <= 0 || values[0] > int64(len(l)) {
			continue
		}
		out[l[values[0]-1]] = placement.Load{PrefillTokens: int(values[1]), Streams: int(values[2]), KVTokens: int(values[3])}
	}
	return out
}

func (l nameList) usage(values []*peerwire.Usage) map[string]map[int64]map[string]int64 {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]map[int64]map[string]int64)
	for _, u := range values {
		incarnation, ok := l.name(u.GetIncarnation())
		if !ok {
			continue
		}
		if out[incarnation] == nil {
			out[incarnation] = make(map[int64]map[string]int64)
		}
		out[incarnation][u.GetWindow()] = l.amounts(u.GetCounts())
	}
	return out
}

func (r *ReserveRequest) toWire() *peerwire.ReserveRequest {
	w := &peerwire.ReserveRequest{Host: r.Host}
	for _, x := range r.Reservations {
		w.Reservations = append(w.Reservations, &peerwire.Reservation{Workspace: x.Workspace, Tokens: x.Tokens, RefundAgeMs: x.RefundAgeMillis})
	}
	return w
}

func (r *ReserveRequest) fromWire(w *peerwire.ReserveRequest) {
	*r = ReserveRequest{Host: w.GetHost()}
	for _, x := range w.GetReservations() {
		r.Reservations = append(r.Reservations, Reservation{Workspace: x.GetWorkspace(), Tokens: x.GetTokens(), RefundAgeMillis: x.GetRefundAgeMs()})
	}
}

func (r *ReserveResponse) toWire() *peerwire.ReserveResponse {
	w := &peerwire.ReserveResponse{NotReady: r.NotReady}
	for _, g := range r.Grants {
		w.Grants = append(w.Grants, &peerwire.Grant{Ok: g.OK, RetryMs: g.RetryMillis})
	}
	return w
}

func (r *ReserveResponse) fromWire(w *peerwire.ReserveResponse) {
	*r = ReserveResponse{NotReady: w.GetNotReady()}
	for _, g := range w.GetGrants() {
		r.Grants = append(r.Grants, Grant{OK: g.GetOk(), RetryMillis: g.GetRetryMs()})
	}
}
