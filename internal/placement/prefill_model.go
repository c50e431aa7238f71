package placement

import (
	"math"
	"time"
)

// prefillModel predicts the time of a prefill on an idle engine of a stage: a fixed part and one
// in proportion to its tokens. Both follow the median of the ratio of observed to predicted
// times, each by its part in the prediction, so that engines that are slow for a while do not
// move them.
type prefillModel struct {
	overheadMS, msPerToken float64
	observed               int
}

const (
	// minOverheadMS and minMSPerToken, maxMSPerToken bound the estimates.
	minOverheadMS                = 0.1
	minMSPerToken, maxMSPerToken = 0.0005, 1.0
	// The gain of an observation falls with their number, from maxModelGain to modelGain.
	modelGain, maxModelGain = 0.06, 0.5
	modelHalving            = 16
	// The error of an observation counts up to earlyModelError, as a logarithm, and after
	// earlyObservations up to modelError.
	earlyObservations           = 30
	earlyModelError, modelError = 0.7, 0.2
)

func newPrefillModel(tokensPerMS float64, overhead time.Duration) *prefillModel {
	return &prefillModel{overheadMS: max(minOverheadMS, milliseconds(overhead)), msPerToken: 1 / tokensPerMS}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// predict returns the time of a prefill of tokens, in ms.
func (m *prefillModel) predict(tokens float64) float64 { return m.overheadMS + m.msPerToken*tokens }

// observe records that a prefill of tokens took ms.
func (m *prefillModel) observe(tokens, ms float64) {
	if ms <= 0 || tokens <= 0 {
		return
	}
	predicted := m.predict(tokens)
	most := earlyModelError
	if m.observed++; m.observed > earlyObservations {
		most = modelError
	}
	miss := max(-most, min(most, math.Log(ms/predicted)))
	gain := min(maxModelGain, max(modelGain, 1/(1+float64(m.observed)/modelHalving)))
	fixed, perToken := m.overheadMS/predicted, m.msPerToken*tokens/predicted
	step := gain * miss / (fixed*fixed + perToken*perToken)
	m.overheadMS = max(minOverheadMS, m.overheadMS*math.Exp(step*fixed))
	m.msPerToken = max(minMSPerToken, min(maxMSPerToken, m.msPerToken*math.Exp(step*perToken)))
}

// tokensPerMS returns the rate beyond the fixed part.
func (m *prefillModel) tokensPerMS() float64 { return 1 / m.msPerToken }
