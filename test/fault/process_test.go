//go:build linux

package fault

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// exitTimeout bounds the wait for a process to exit after SIGTERM.
const exitTimeout = 60 * time.Second

// process is one running instance of the binary. Signals go only to processes
// started here, each by its PID.
type process struct {
	t    *testing.T
	name string
	args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	output bytes.Buffer
}

func newProcess(t *testing.T, name string, args ...string) *process {
	p := &process{t: t, name: name, args: args}
	p.start()
	t.Cleanup(p.cleanup)
	return p
}

// start starts the process, or restarts it after it exited.
func (p *process) start() {
	p.t.Helper()
	cmd := exec.CommandContext(context.Background(), binaryPath, p.args...)
	cmd.Stdout = p
	cmd.Stderr = p
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
}

// Write appends to the captured output of the process. It implements io.Writer.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

func (p *process) outputText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited()
}

func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop requests a planned stop with SIGTERM and waits for the process to exit.
// It kills the process and fails the test after exitTimeout.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited():
	case <-time.After(exitTimeout):
		p.t.Errorf("%s did not exit after SIGTERM", p.name)
		p.kill()
	}
}

// outputTailBytes is how much of a process's output a failed test logs.
const outputTailBytes = 4_096

func (p *process) outputTail() string {
	text := p.outputText()
	return text[max(0, len(text)-outputTailBytes):]
}

// cleanup kills the process, so that it does not outlive the test, and logs the
// end of its output if the test failed.
func (p *process) cleanup() {
	p.kill()
	if p.t.Failed() && testing.Verbose() {
		p.t.Logf("output of %s:\n%s", p.name, p.outputTail())
	}
}
