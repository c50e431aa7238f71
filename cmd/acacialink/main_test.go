package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/exit"
)

// A failing command has the code of its failure, a wrong command line its own.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	// Port 1 of this host takes no connections.
	is.Equal(run([]string{"get", "--server", "http://127.0.0.1:1", "--token", "t", "key"}), exit.Unreachable)
	is.Equal(run([]string{"apply", "-f", "no-such-file", "--server", "http://127.0.0.1:1", "--token", "t"}), exit.Settings)
	is.Equal(run([]string{"get", "key"}), exit.Usage)
	is.Equal(run([]string{"no-such-command"}), exit.Usage)
}

// Help that was asked for is no failure, with or without what the command needs.
func TestHelpIsNoFailure(t *testing.T) {
	is := is.New(t)
	is.Equal(run([]string{"--help"}), exit.OK)
	is.Equal(run([]string{"get", "--help"}), exit.OK)
	is.Equal(run([]string{"gateway", "--help"}), exit.OK)
}
