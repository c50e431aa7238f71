package quota

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "3000",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
