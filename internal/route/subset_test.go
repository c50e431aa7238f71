package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSubsetStabilityAndBalance(t *testing.T) {
	is := is.New(t)
	targets := newTargets(5700)
	load := make(map[string]int)
	for h := range 370 {
		for _, n := range Subset(fmt.Sprint("h", h), fmt.Sprint("d", h%14), targets, DefaultSubsetSize) {
			load[n]++
		}
	}
	for _, target := range targets {
		is.True(load[target.Name] > 0) // every endpoint has a session with some host
	}
	least, most := len(targets), 0
	for _, n := range load {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("sessions per endpoint: %d to %d, mean %d", least, most, 370*18*16/len(targets))
	before := Subset("h1", "d1", targets, DefaultSubsetSize)
	is.Equal(len(before), 18*16)
	removed := before[7]
	remaining := make([]Target, 0, len(targets))
	for _, target := range targets {
		if target.Name != removed {
			remaining = append(remaining, target)
		}
	}
	after := Subset("h1", "d1", remaining, DefaultSubsetSize)
	is.Equal(countMissing(before, after), 1)
}

func countMissing(before, after []string) int {
	present := make(map[string]bool)
	for _, n := range after {
		present[n] = true
	}
	count := 0
	for _, n := range before {
		if !present[n] {
			count++
		}
	}
	return count
}

// newTargets returns n targets spread over 14 failure domains and 18 models.
func newTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%14), Models: []string{fmt.Sprint("m", (i/14)%18)},
		}
	}
	return targets
}
