//go:build linux

// Package fault runs the built binary as separate processes behind a
// fault-injecting proxy, with the platform stand-ins in the test process. It
// injects faults under load and checks the records of the stand-ins and the
// callers with package audit.
package fault

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// binaryPath is the path of the binary that TestMain builds.
var binaryPath string

const buildTimeout = 5 * time.Minute

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "acacialink-fault")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "acacialink")
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", binaryPath, "./cmd/acacialink")
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
