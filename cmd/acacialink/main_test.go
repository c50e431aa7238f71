package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/exit"
)

// A failed command returns the exit code of its error. An invalid command line
// returns exit.Usage.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	// Port 1 of the local host refuses connections.
	is.Equal(run([]string{"get", "--server", "http://127.0.0.1:1", "--token", "t", "key"}), exit.Unreachable)
	is.Equal(run([]string{"apply", "-f", "no-such-file", "--server", "http://127.0.0.1:1", "--token", "t"}), exit.Settings)
	is.Equal(run([]string{"get", "key"}), exit.Usage)
	is.Equal(run([]string{"no-such-command"}), exit.Usage)
}

// Requested help exits with exit.OK, even if required flags are missing.
func TestHelpExitsOK(t *testing.T) {
	is := is.New(t)
	is.Equal(run([]string{"--help"}), exit.OK)
	is.Equal(run([]string{"get", "--help"}), exit.OK)
	is.Equal(run([]string{"gateway", "--help"}), exit.OK)
}
