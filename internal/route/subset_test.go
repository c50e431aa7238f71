package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSubsetIsStableAndEven(t *testing.T) {
	is := is.New(t)
	targets := fleet(5700)
	load := make(map[string]int)
	for h := range 370 {
		for _, n := range Subset(fmt.Sprint("h", h), fmt.Sprint("d", h%14), targets, DefaultSubsetSize) {
			load[n]++
		}
	}
	for _, target := range targets {
		is.True(load[target.Name] > 0) // no endpoint is left without hosts
	}
	least, most := len(targets), 0
	for _, n := range load {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("an endpoint has sessions of %d to %d hosts, %d in the mean", least, most, 370*18*16/len(targets))
	before := Subset("h1", "d1", targets, DefaultSubsetSize)
	is.Equal(len(before), 18*16)
	lost := before[7]
	kept := make([]Target, 0, len(targets))
	for _, target := range targets {
		if target.Name != lost {
			kept = append(kept, target)
		}
	}
	after := Subset("h1", "d1", kept, DefaultSubsetSize)
	is.Equal(missing(before, after), 1)
}

func missing(before, after []string) int {
	have := make(map[string]bool)
	for _, n := range after {
		have[n] = true
	}
	count := 0
	for _, n := range before {
		if !have[n] {
			count++
		}
	}
	return count
}

// fleet spreads n targets over 14 domains and 18 models.
func fleet(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%14), Models: []string{fmt.Sprint("m", (i/14)%18)},
		}
	}
	return targets
}
