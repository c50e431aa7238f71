package gateway

import (
	"github.com/acacialink/acacialink/internal/observe"
)

// outcomeLabels bounds the label values of each counter. The outcome codes are
// constants.
const outcomeLabels = 64

// Metrics counts requests by outcome and records latencies.
type Metrics struct {
	// Outcomes counts requests by outcome code. Sends counts sends to endpoints
	// by outcome.
	Outcomes, Sends *observe.LabelledCounter
	// Truncated counts answers of endpoints that broke off, by framing.
	Truncated *observe.LabelledCounter
	// Oversized counts answers of endpoints that were cut for their size, by the part.
	Oversized *observe.LabelledCounter
	// FirstEventLatency is the latency of a stream's first event. ResponseLatency is the
	// latency of a plain response.
	FirstEventLatency, ResponseLatency *observe.Histogram
}

// NewMetrics returns metrics in the registry.
func NewMetrics(r *observe.Registry) *Metrics {
	return &Metrics{
		Outcomes:          r.NewLabelledCounter("gateway_outcomes", outcomeLabels),
		Sends:             r.NewLabelledCounter("gateway_sends", outcomeLabels),
		Truncated:         r.NewLabelledCounter("gateway_truncated_answers", outcomeLabels),
		Oversized:         r.NewLabelledCounter("gateway_oversized_answers", outcomeLabels),
		FirstEventLatency: r.NewHistogram("gateway_first_event"),
		ResponseLatency:   r.NewHistogram("gateway_answer"),
	}
}
