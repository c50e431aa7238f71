package snapshot

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of checks of the property tests, unless
// they are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260704", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
