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

// exitTimeout bounds the wait for a process that was asked to end.
const exitTimeout = 60 * time.Second

// process is one process of the binary. Only processes started here are ever
// signalled, each by its own id.
type process struct {
	t    *testing.T
	name string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  bytes.Buffer
}

func newProcess(t *testing.T, name string, args ...string) *process {
	p := &process{t: t, name: name, args: args}
	p.start()
	t.Cleanup(p.end)
	return p
}

// start starts the process, or starts it again after it ended.
func (p *process) start() {
	p.t.Helper()
	cmd := exec.CommandContext(context.Background(), binary, p.args...)
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

// Write collects the process's output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
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

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited()
}

func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop asks for a planned stop and waits for its end.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited():
	case <-time.After(exitTimeout):
		p.t.Errorf("%s did not end after SIGTERM", p.name)
		p.kill()
	}
}

// logTail is how much of a process's output a failed test shows.
const logTail = 4_096

func (p *process) tail() string {
	text := p.logs()
	return text[max(0, len(text)-logTail):]
}

// end is the cleanup: the process must not outlive the test.
func (p *process) end() {
	p.kill()
	if p.t.Failed() && testing.Verbose() {
		p.t.Logf("output of %s:\n%s", p.name, p.tail())
	}
}
