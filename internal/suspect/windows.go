package suspect

import (
	"math"
	"sort"
	"time"
)

// firstWindow is where the second window of each scale begins. Each further one begins half a
// window later, on a logarithmic scale.
const firstWindow = 15 * time.Millisecond

// windowScales are the ratios between the end and the beginning of a window: how much the
// time in which a segment crashes its engines varies is not known.
var windowScales = [...]float64{4, 1.6, 1.12, 1.03}

// latestAges are the ends of the windows that begin with the answer.
var latestAges = [...]time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, settledAge}

// ageWindow is a range of ages of requests at the crashes that they cause.
type ageWindow struct {
	from, to time.Duration
	// waiting is set for requests whose answers had not begun.
	waiting bool
	// prior is the logarithm of the probability of the window.
	prior float64
}

// ageWindows holds all windows, scaleEnds the index behind the last one of each scale. Within
// a scale both ends increase.
var ageWindows, scaleEnds = makeAgeWindows()

func makeAgeWindows() (windows []ageWindow, ends []int) {
	scales := [][]ageWindow{{{waiting: true}}, nil}
	for _, to := range latestAges {
		scales[1] = append(scales[1], ageWindow{to: to})
	}
	for _, ratio := range windowScales {
		scale := []ageWindow{{to: time.Duration(float64(firstWindow) * ratio)}}
		for from := firstWindow; from < settledAge; from = time.Duration(float64(from) * math.Sqrt(ratio)) {
			scale = append(scale, ageWindow{from: from, to: min(time.Duration(float64(from)*ratio), settledAge)})
		}
		scales = append(scales, scale)
	}
	for _, scale := range scales {
		for _, w := range scale {
			w.prior = -math.Log(float64(len(scales) * len(scale)))
			windows = append(windows, w)
		}
		ends = append(ends, len(windows))
	}
	return windows, ends
}

// windowsOf calls yield with the index of each window that contains the age.
func windowsOf(age time.Duration, yield func(int)) {
	begin := scaleEnds[0] // behind that of the requests that wait
	for _, end := range scaleEnds[1:] {
		after := begin + sort.Search(end-begin, func(i int) bool { return ageWindows[begin+i].from > age })
		for i := after - 1; i >= begin && age < ageWindows[i].to; i-- {
			yield(i)
		}
		begin = end
	}
}

// density returns the share of the window per second.
func (w *ageWindow) density() float64 { return 1 / (w.to - w.from).Seconds() }

// passed returns the share of the window that lies before the age.
func (w *ageWindow) passed(age time.Duration) float64 {
	if w.waiting {
		return 1
	}
	return min(1, max(0, float64(age-w.from)/float64(w.to-w.from)))
}

func (w *ageWindow) contains(age time.Duration) bool {
	return !w.waiting && age >= w.from && age < w.to
}
