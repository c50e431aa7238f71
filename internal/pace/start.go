package pace

import (
	"math"
	"strconv"
	"time"
)

const (
	// startRate is the rate, in requests a second from all hosts, at which an endpoint that
	// has just started gets requests until it has answered some.
	startRate = 4.0
	// startGrowth is how many requests each good answer of the last second is worth. Above 1,
	// the rate grows as long as the endpoint answers well: to tenfold within about a second.
	startGrowth = 2.0
	// startPenalty is how many requests each bad answer of the last second takes away. A host
	// that is cut off from a sound endpoint gets only such answers.
	startPenalty = 3.0
	// startMinRate is the rate of an endpoint that answers badly: it shows that it recovers.
	startMinRate = 1.0
	// turn is the time in which the same hosts may send to the endpoint. Others follow, so that
	// its requests come from all hosts though few send at a time.
	turn = 250 * time.Millisecond
	// turnHosts is the number of hosts in a turn for each request that it may bring: some of
	// them have none to send.
	turnHosts = 2.0
	// startTime is how long an endpoint counts as one that has just started.
	startTime = 10 * time.Second
	// answerWindow is the time for which an answer counts.
	answerWindow = time.Second
	// An answer is good if it took at most goodFactor times the predicted time and goodMargin,
	// and bad above badFactor times that and badMargin.
	goodFactor, badFactor = 2, 4
	goodMargin, badMargin = 150 * time.Millisecond, 400 * time.Millisecond
)

// Answer is what an answer says of the pace that an endpoint bears.
type Answer int8

// The answers: Bad ones came late, or were failures or rejections.
const (
	Bad  Answer = -1
	Fair Answer = 0
	Good Answer = 1
)

// AnswerAfter rates an answer by the time to its beginning and the time that was predicted.
func AnswerAfter(took, predicted time.Duration) Answer {
	switch {
	case took <= goodFactor*predicted+goodMargin:
		return Good
	case took > badFactor*predicted+badMargin:
		return Bad
	default:
		return Fair
	}
}

// Start paces the requests to one endpoint that has just started or recovered, by the answers
// that all hosts got from it in the last second: twice as many as went well and a few more, and
// less after bad ones. It is not safe for concurrent use.
type Start struct {
	endpoint string
	began    time.Time
	// all holds the times of the requests of all hosts in the last turn, own those of this
	// one.
	all, own  []time.Time
	good, bad []time.Time
}

// NewStart returns the pace of an endpoint that started at the given time.
func NewStart(endpoint string, began time.Time) *Start {
	return &Start{endpoint: endpoint, began: began}
}

// Began returns when the endpoint started.
func (s *Start) Began() time.Time { return s.began }

// Over reports whether the endpoint no longer counts as one that has just started.
func (s *Start) Over(now time.Time) bool { return now.Sub(s.began) >= startTime }

// Arrived counts a request that was sent by this host or, if own is false, by another one.
func (s *Start) Arrived(now time.Time, own bool) {
	s.prune(now)
	if len(s.all) < maxArrivals {
		s.all = append(s.all, now)
	}
	if own {
		s.own = append(s.own, now)
	}
}

// Answered counts an answer that this host or another one got.
func (s *Start) Answered(now time.Time, a Answer) {
	s.prune(now)
	switch {
	case a == Good && len(s.good) < maxArrivals:
		s.good = append(s.good, now)
	case a == Bad && len(s.bad) < maxArrivals:
		s.bad = append(s.bad, now)
	}
}

func (s *Start) prune(now time.Time) {
	s.good, s.bad = since(s.good, now.Add(-answerWindow)), since(s.bad, now.Add(-answerWindow))
	s.all, s.own = since(s.all, now.Add(-turn)), since(s.own, now.Add(-turn))
}

// Rate returns the requests a second that the endpoint gets from all hosts together.
func (s *Start) Rate(now time.Time) float64 {
	s.prune(now)
	return max(startMinRate, startRate+startGrowth*float64(len(s.good))-startPenalty*float64(len(s.bad)))
}

// Mute reports whether the endpoint has lately given bad answers only.
func (s *Start) Mute(now time.Time) bool {
	s.prune(now)
	return len(s.bad) > 0 && len(s.good) == 0
}

// Wait returns the time after which the host self may send a request to the endpoint, at most 0
// if it may now. In each turn a few of the hosts may, those whose names hash highest with it; one
// that knows what the others send stops once all have sent what the endpoint bears.
func (s *Start) Wait(now time.Time, self string, hosts []string, inTouch bool) time.Duration {
	most := s.Rate(now) * turn.Seconds()
	number := now.UnixMilli() / turn.Milliseconds()
	if sharers := int(math.Ceil(turnHosts * most)); sharers < len(hosts) && Rank(s.endpoint+"/"+strconv.FormatInt(number, 10), self, hosts) >= sharers {
		return time.UnixMilli((number + 1) * turn.Milliseconds()).Sub(now)
	}
	wait := untilRoom(now, s.own, max(1, int(most/turnHosts)), turn)
	if inTouch {
		wait = max(wait, untilRoom(now, s.all, max(1, int(most)), turn))
	}
	return wait
}
